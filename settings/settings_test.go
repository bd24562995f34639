package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"acaciakeel/problem"
)

type sample struct {
	Self     Self     `toml:"self"`
	Platform Platform `toml:"platform"`
	Log      Log      `toml:"log"`
}

func (s *sample) Validate(ps *problem.List) {
	s.Self.Validate(ps)
	s.Platform.Validate(ps)
	s.Log.Validate(ps)
}

func load(t *testing.T, text string) error {
	t.Helper()
	file := filepath.Join(t.TempDir(), "sample.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(file, &sample{})
}

func TestLoad(t *testing.T) {
	good := "[self]\nname='a'\nlisten='127.0.0.1:1'\ndata_centre='d'\n[platform]\nurl='http://127.0.0.1:2'\n"
	if err := load(t, good); err != nil {
		t.Errorf("valid settings were rejected: %v", err)
	}
	err := load(t, "[self]\nlisten='here'\nnmae='x'\n[platform]\nurl='ftp://x'\n[log]\nlevel='loud'\n")
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, want := range []string{"self.nmae", "self.name", "self.listen", "self.data_centre", "platform.url", "log.level", "sample.toml", "examples/"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not contain %q", err, want)
		}
	}
	if err := load(t, "[self]\nname = = 3\n"); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("syntax error on line 2 is reported as %v", err)
	}
	if err := Load("no such file", &sample{}); err == nil {
		t.Error("missing file was accepted")
	}
}
