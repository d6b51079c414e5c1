package fleet

import (
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Deployment describes the services, upstreams, nodes and accounts to run, as read
// from a YAML file.
type Deployment struct {
	Name        string        `yaml:"name"`
	Template    string        `yaml:"template"` // YAML file, relative to the deployment file's directory.
	DataCentres []string      `yaml:"data_centres"`
	OneWayDelay time.Duration `yaml:"one_way"` // Delay between data centres in each direction.
	Work        time.Duration `yaml:"work"`    // Median work time of a request.
	Sigma       float64       `yaml:"sigma"`   // Standard deviation of the logarithm of the work time.
	Slots       int           `yaml:"slots"`   // Of each upstream.
	Services    []struct {
		Name      string `yaml:"name"`
		Upstreams int    `yaml:"upstreams"`
		Floor     int    `yaml:"floor"`  // Minimum of upstreams that are not ejected; as in the template, to check runs against it.
		Lookup    string `yaml:"lookup"` // Path of a retryable GET.
		Order     string `yaml:"order"`  // Path of an at-most-once POST.
	} `yaml:"services"`
	Nodes        int                          `yaml:"nodes"`    // 0 for one beside each upstream.
	Accounts     map[string]map[string]string `yaml:"accounts"` // Parameters by account name.
	templatePath string
}

// ReadDeployment reads a deployment file and resolves its template's path.
func ReadDeployment(path string) (*Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "deployment")
	}
	d := &Deployment{}
	if err := yaml.UnmarshalWithOptions(text, d, yaml.Strict()); err != nil {
		return nil, errors.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	d.templatePath = filepath.Join(filepath.Dir(path), d.Template)
	return d, nil
}
