package verdicts

import (
	"strings"
	"time"

	"acaciakeel/platform"
	"acaciakeel/poison"
	"acaciakeel/store"
)

// Key returns the key under which the store has the verdict on a content.
func Key(content poison.Fingerprint) string {
	return platform.VerdictPrefix + content.String()
}

// ParseKey returns the content that a verdict's key names; ok is false for other keys.
func ParseKey(key string) (content poison.Fingerprint, ok bool, err error) {
	text, ok := strings.CutPrefix(key, platform.VerdictPrefix)
	if !ok {
		return content, false, nil
	}
	content, err = poison.ParseFingerprint(text)
	return content, true, err
}

// Decode reads the verdict of an entry below platform.VerdictPrefix.
func Decode(e store.Entry, now time.Time) (poison.Verdict, error) {
	content, _, err := ParseKey(e.Key)
	if err != nil {
		return poison.Verdict{}, err
	}
	if e.DecodeErr != nil {
		return poison.Verdict{}, e.DecodeErr
	}
	return poison.DecodeVerdict(content, e.Value, e.Revision, now)
}
