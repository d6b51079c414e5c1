package route

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"

	"eiderfold/overload"
)

// Account is a client account with its keys, priority and limits.
type Account struct {
	Name     string
	Keys     []string // Each authenticates a caller as this account.
	Priority int      // 0 is the most urgent; compared before the route's.
	Rate     float64  // Requests per second over all nodes; 0 for no limit.
	Burst    float64  // Requests above the rate that may arrive at once.
	Regions  []string // Regions in which its requests may run; all if empty.
	// Weight is its weight among the accounts that compete for the slots of a gate. If it is 0, a
	// table sets it by the rate.
	Weight float64
}

// Limited reports whether the account has a rate limit.
func (a *Account) Limited() bool { return a.Rate > 0 }

// digest is the SHA-256 hash of a key. Storing digests keeps keys out of memory dumps, and
// the time of a look-up does not depend on how much of a key is right.
type digest [sha256.Size]byte

func digestOf(key string) digest { return sha256.Sum256([]byte(key)) }

// accounts indexes a table's client accounts.
type accounts struct {
	byName map[string]*Account
	byKey  map[digest]*Account
}

// newAccounts validates accounts. It returns them with every fault found; no fault
// contains a key.
func newAccounts(list []Account) (accounts, []string) {
	a := accounts{byName: make(map[string]*Account, len(list)), byKey: make(map[digest]*Account, len(list))}
	var faults []string
	for i := range list {
		account := list[i]
		if account.Name == "" {
			faults = append(faults, "account at "+strconv.Itoa(i)+": has no name")
			continue
		}
		for _, fault := range a.add(&account) {
			faults = append(faults, "account "+account.Name+": "+fault)
		}
	}
	a.setWeights(list)
	return a, faults
}

// setWeights sets the weights of the accounts that have none. An account without a limit weighs 1,
// as one with the mean rate of all that have a limit.
func (a *accounts) setWeights(list []Account) {
	sum, limited := 0.0, 0.0
	for _, account := range list {
		if account.Limited() {
			sum += account.Rate
			limited++
		}
	}
	for _, account := range a.byName {
		switch {
		case account.Weight != 0:
		case account.Limited():
			account.Weight = min(max(account.Rate*limited/sum, overload.MinWeight), overload.MaxWeight)
		default:
			account.Weight = 1
		}
	}
}

// add adds an account and returns its faults.
func (a *accounts) add(account *Account) []string {
	var faults []string
	if a.byName[account.Name] != nil {
		faults = append(faults, "name: another account has it")
	}
	if account.Rate < 0 || account.Burst < 0 || account.Priority < 0 {
		faults = append(faults, "rate, burst, priority: a value is under 0")
	}
	if account.Weight != 0 && !overload.ValidWeight(account.Weight) {
		faults = append(faults, fmt.Sprintf("weight: is not from %v to %v, or 0 for the default", overload.MinWeight, overload.MaxWeight))
	}
	if slices.Contains(account.Regions, "") {
		faults = append(faults, "regions: one has no name")
	}
	a.byName[account.Name] = account
	for i, key := range account.Keys {
		if fault := a.addKey(account, key); fault != "" {
			faults = append(faults, "key at "+strconv.Itoa(i)+": "+fault)
		}
	}
	account.Keys = nil // Only the digests are kept.
	return faults
}

// addKey maps a key to its account. It returns the key's fault, "" if there is none.
func (a *accounts) addKey(account *Account, key string) string {
	if key == "" {
		return "is empty"
	}
	d := digestOf(key)
	if a.byKey[d] != nil {
		// The key is already one of the named account, which may be this one.
		return "stands twice, here or at account " + a.byKey[d].Name
	}
	a.byKey[d] = account
	return ""
}

// HasAccounts reports whether there are client accounts. If so, callers need a key, except on open
// routes and for nested requests.
func (t *Table) HasAccounts() bool { return len(t.accounts.byName) > 0 }

// AccountOf returns the account that a key belongs to.
func (t *Table) AccountOf(key string) (*Account, bool) {
	a, ok := t.accounts.byKey[digestOf(key)]
	return a, ok
}

// Account returns the account with a name.
func (t *Table) Account(name string) (*Account, bool) {
	a, ok := t.accounts.byName[name]
	return a, ok
}
