// Package ctl implements keelctl, the command-line client of the resource API.
package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/BurntSushi/toml"

	"acaciakeel/resource"
)

// Manifest is one resource as written in a file: its kind, name and spec.
type Manifest struct {
	Kind resource.Kind
	Name string
	Spec json.RawMessage
}

// ReadManifests reads a TOML file with one [[KIND]] table per resource. Each table holds the
// name and the fields of the spec. The resources are returned in the order in which they
// can be applied.
func ReadManifests(file string) ([]Manifest, error) {
	var tables map[string][]map[string]any
	if _, err := toml.DecodeFile(file, &tables); err != nil {
		return nil, fmt.Errorf("read %s: %w; write one [[KIND]] table for each resource", file, err)
	}
	var manifests []Manifest
	for _, kind := range resource.Kinds() {
		for _, table := range tables[string(kind)] {
			m, err := newManifest(kind, table)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", file, err)
			}
			manifests = append(manifests, m)
		}
		delete(tables, string(kind))
	}
	for unknown := range tables {
		return nil, fmt.Errorf("%s: unknown kind %q; use %v", file, unknown, resource.Kinds())
	}
	return manifests, nil
}

func newManifest(kind resource.Kind, table map[string]any) (Manifest, error) {
	name, ok := table["name"].(string)
	if !ok {
		return Manifest{}, fmt.Errorf("a %s has no name; add name = \"...\"", kind)
	}
	delete(table, "name")
	spec, err := json.Marshal(table)
	if err != nil {
		return Manifest{}, fmt.Errorf("encode %s %s: %w", kind, name, err)
	}
	if _, err := resource.DecodeSpec(kind, spec); err != nil {
		return Manifest{}, fmt.Errorf("%s %s: %w; see docs/operating/resources.md", kind, name, err)
	}
	return Manifest{Kind: kind, Name: name, Spec: spec}, nil
}
