package route

import (
	"crypto/sha256"
	"slices"
	"strconv"
)

// Account is a client account: who may call, and how much.
type Account struct {
	Name     string
	Keys     []string // Each lets its bearer call for the account.
	Priority int      // 0 goes first; it goes before the route's.
	Rate     float64  // Requests a second over all nodes; 0 for no limit.
	Burst    float64  // Requests above the rate that may come at once.
	Regions  []string // In which its requests may run; none: in all.
}

// Limited tells whether the account has a limit.
func (a *Account) Limited() bool { return a.Rate > 0 }

// digest is a key as a table holds it. Tables show no key to whoever reads the memory
// or a dump of it, and a look-up takes as long whichever part of a key was right.
type digest [sha256.Size]byte

func digestOf(key string) digest { return sha256.Sum256([]byte(key)) }

// accounts are a table's client accounts.
type accounts struct {
	byName map[string]*Account
	byKey  map[digest]*Account
}

// newAccounts checks accounts and returns them with every fault that was found. No fault
// tells a key.
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
	return a, faults
}

// add takes an account in and returns what is wrong with it.
func (a *accounts) add(account *Account) []string {
	var faults []string
	if a.byName[account.Name] != nil {
		faults = append(faults, "name: another account has it")
	}
	if account.Rate < 0 || account.Burst < 0 || account.Priority < 0 {
		faults = append(faults, "rate, burst, priority: a value is under 0")
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
	account.Keys = nil // Only their digests stay.
	return faults
}

// addKey lets a key find its account and returns what is wrong with it, "" for nothing.
func (a *accounts) addKey(account *Account, key string) string {
	if key == "" {
		return "is empty"
	}
	d := digestOf(key)
	if a.byKey[d] != nil {
		return "stands twice, here or at account " + a.byKey[d].Name
	}
	a.byKey[d] = account
	return ""
}

// HasAccounts tells whether callers have to say by a key for whom they call.
func (t *Table) HasAccounts() bool { return len(t.accounts.byName) > 0 }

// AccountOf returns the account that holds a key.
func (t *Table) AccountOf(key string) (*Account, bool) {
	a, ok := t.accounts.byKey[digestOf(key)]
	return a, ok
}

// Account returns the account of a name.
func (t *Table) Account(name string) (*Account, bool) {
	a, ok := t.accounts.byName[name]
	return a, ok
}
