// Package fleet starts nodes, stand-in upstreams and a stand-in platform log as
// separate processes on loopback addresses, for demonstrations, measurements and
// failure runs.
package fleet

import (
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"
)

// Deployment describes a fleet.
type Deployment struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	// AddressPrefix is the first three octets of the loopback addresses.
	AddressPrefix string         `yaml:"address_prefix"`
	Instances     []InstanceSpec `yaml:"instances"`
	// Slots is the number of slots of each upstream.
	Slots int `yaml:"slots"`
}

// InstanceSpec describes one upstream VM.
type InstanceSpec struct {
	Service       string `yaml:"service"`
	FailureDomain string `yaml:"failure_domain"`
}

// LoadDeployment reads a deployment file.
func LoadDeployment(file string) (*Deployment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read deployment: %w", err)
	}
	var d Deployment
	if err := yaml.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("parse deployment %s: %w", file, err)
	}
	return &d, nil
}
