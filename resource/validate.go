package resource

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"acaciakeel/problem"
)

// Policies are the placement policies that a Preference can name. All but
// "keel" are baselines for measurements.
var Policies = []string{DefaultPolicy, "random", "least-load", "prefix-hash", "oracle"}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

func decodeStrict[T any](raw []byte) (T, error) {
	var spec T
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&spec)
	return spec, err
}

// DecodeSpec decodes the spec of a resource; unknown fields are errors.
func DecodeSpec(kind Kind, raw []byte) (any, error) {
	switch kind {
	case KindService:
		return decodeStrict[Service](raw)
	case KindTarget:
		return decodeStrict[Target](raw)
	case KindCustomer:
		return decodeStrict[Customer](raw)
	case KindModel:
		return decodeStrict[Model](raw)
	case KindPreference:
		return decodeStrict[Preference](raw)
	}
	return nil, fmt.Errorf("unknown kind %q; use one of %v", kind, Kinds())
}

// Validate checks r on its own and against the other resources of s.
func Validate(r Resource, s *Snapshot) error {
	var ps problem.List
	if !namePattern.MatchString(r.Name) {
		ps.Add("name", "use lower-case letters, digits, '.', '_' and '-', 63 at most", "%q", r.Name)
	}
	spec, err := DecodeSpec(r.Kind, r.Spec)
	if err != nil {
		ps.Add("spec", "see the fields of this kind in docs/operating/resources.md", "%v", err)
		return ps
	}
	switch spec := spec.(type) {
	case Service:
		spec.validate(&ps)
	case Target:
		spec.validate(&ps, s)
	case Customer:
		spec.validate(&ps, r.Name, s)
	case Model:
		spec.validate(&ps)
	case Preference:
		spec.validate(&ps)
	}
	return ps.OrNil()
}

func (s Service) validate(ps *problem.List) {
	for _, path := range s.IdempotentPaths {
		if !strings.HasPrefix(path, "/") {
			ps.Add("idempotent_paths", "begin each path with '/'", "%q", path)
		}
	}
	if s.TimeoutMS < 0 {
		ps.Add("timeout_ms", "use a positive number of milliseconds", "%d", s.TimeoutMS)
	}
}

func (t Target) validate(ps *problem.List, s *Snapshot) {
	if (t.Model == "") == (t.Service == "") {
		ps.Add("model, service", "set exactly one of the two", "model=%q service=%q", t.Model, t.Service)
	}
	if _, ok := s.Models[t.Model]; t.Model != "" && !ok {
		ps.Add("model", "apply the model first", "unknown model %q", t.Model)
	}
	if _, ok := s.Services[t.Service]; t.Service != "" && !ok {
		ps.Add("service", "apply the service first", "unknown service %q", t.Service)
	}
	u, err := url.Parse(t.AgentURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		ps.Add("agent_url", "use http://IP:PORT of the target's agent", "%q", t.AgentURL)
	}
	if t.DataCentre == "" {
		ps.Add("data_centre", "name the data centre that the target stands in", "nothing")
	}
}

func (c Customer) validate(ps *problem.List, name string, s *Snapshot) {
	if len(c.KeyHashes) == 0 {
		ps.Add("key_hashes", "add the hash that `keelctl hash-key` prints", "none")
	}
	for _, hash := range c.KeyHashes {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 {
			ps.Add("key_hashes", "use the 64 hex digits that `keelctl hash-key` prints", "%q", hash)
		}
		if owner, ok := s.customerByKeyHash[hash]; ok && owner != name {
			ps.Add("key_hashes", "give each customer a key of its own", "a key of customer %q", owner)
		}
	}
	if c.Priority != nil && (*c.Priority < 0 || *c.Priority > MaxPriority) {
		ps.Add("priority", "use 0 (first) to 3", "%d", *c.Priority)
	}
	if c.Weight < 0 || c.RequestsPerSecond < 0 || c.TokensPerSecond < 0 || c.Streams < 0 {
		ps.Add("weight, limits", "use positive numbers, or leave them out for no limit", "a negative number")
	}
	_, ok := s.Preferences[c.Preference]
	if c.Preference != "" && c.Preference != DefaultPreference && !ok {
		ps.Add("preference", "apply the preference first", "unknown preference %q", c.Preference)
	}
}

func (m Model) validate(ps *problem.List) {
	if m.WeightsVersion == "" {
		ps.Add("weights_version", "name the version that runners are to serve", "nothing")
	}
	if m.BlockTokens < 0 || m.PieceTokens < 0 || m.MinRunners < 0 {
		ps.Add("block_tokens, piece_tokens, min_runners", "use positive numbers", "a negative number")
	}
}

func (p Preference) validate(ps *problem.List) {
	if p.Policy != "" && !slices.Contains(Policies, p.Policy) {
		ps.Add("policy", fmt.Sprintf("use one of %v", Policies), "%q", p.Policy)
	}
	for _, width := range p.LevelWidths {
		if width < 1 {
			ps.Add("level_widths", "use numbers of runners from 1", "%d", width)
		}
	}
	if p.MissWeight < 0 || p.WaitWeight < 0 || p.Candidates < 0 || p.WidenWaitMS < 0 {
		ps.Add("weights", "use positive numbers", "a negative number")
	}
}

// InUse returns an error if another resource refers to this one, which then
// cannot be deleted yet.
func InUse(kind Kind, name string, s *Snapshot) error {
	var users []string
	switch kind {
	case KindModel:
		users = s.TargetsOfModel(name)
	case KindService:
		users = s.TargetsOfService(name)
	case KindPreference:
		for customer, c := range s.Customers {
			if c.Preference == name && name != DefaultPreference {
				users = append(users, customer)
			}
		}
		slices.Sort(users)
	}
	if len(users) == 0 {
		return nil
	}
	return problem.List{{Field: string(kind), Found: fmt.Sprintf("%q in use by %v", name, users), Remedy: "delete or change those first"}}
}
