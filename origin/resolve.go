package origin

import "time"

// Source is how the origin of a stream is known.
type Source string

const (
	// ThisEntry: this process recorded it. OtherEntry: another one did and reported it.
	ThisEntry  Source = "this_entry"
	OtherEntry Source = "other_entry"
	// Stored: a process saved it to the store.
	Stored Source = "store"
	// Response: the stream began within the response that is being continued.
	Response Source = "response"
	// Asked: another process had it and was asked for it.
	Asked Source = "asked"
	// SoleVersion: nobody has a record of the stream, and the service has had one version
	// alone for longer than any stream lasts.
	SoleVersion Source = "sole_version"
	// BaseVersion: nobody has a record of the stream, nor is there one in the store, which has
	// those of all streams that other versions began.
	BaseVersion Source = "base_version"
	// Unknown: nobody has a record of the stream, and several versions may have begun it, or
	// it was not named.
	Unknown Source = "unknown"
)

// Resolution is the origin of a stream as far as it can be known.
type Resolution struct {
	Origin Origin
	Source Source
	// ViewAge is how long ago the view by which it was resolved was last confirmed.
	ViewAge time.Duration
}

// Known reports whether the origin is known.
func (r Resolution) Known() bool { return r.Source != "" && r.Source != Unknown }

// Versions is what a process knows of the software versions of a service.
type Versions struct {
	// Sole is set if Build is the only version that it has seen for as long as a stream may
	// last.
	Sole  bool
	Build string
	// Confirmed is set if the store has said so since the question. A process that is behind does
	// not see versions that appear.
	Confirmed bool
}

// Answer is the answer of another process that was asked for a stream.
type Answer struct {
	// Known is set if it has a record, with Origin.
	Known  bool
	Origin Origin
	// Versions is what it knows of the service otherwise.
	Versions Versions
}

// ResolveLocally returns the resolution of a stream without a record from this process's view
// alone; ok is false if others have to be asked.
func ResolveLocally(service string, v Versions) (r Resolution, ok bool) {
	if !v.Sole || !v.Confirmed {
		return Resolution{Source: Unknown}, false
	}
	return soleVersion(service, v.Build), true
}

// Answers are the answers of the processes that were asked for a stream.
type Answers struct {
	Received []Answer
	// Everyone is set if all other processes were asked, and each has answered.
	Everyone bool
}

// ResolveAnswers returns the resolution of a stream without a record here from the answers of
// others. That one version serves alone must be confirmed by a process that has asked the store, or
// by everyone: whoever was not asked may have seen another version.
func ResolveAnswers(service string, v Versions, answers Answers) Resolution {
	confirmed := v.Confirmed
	for _, a := range answers.Received {
		if a.Known {
			return Resolution{Origin: a.Origin, Source: Asked}
		}
		confirmed = confirmed || a.Versions.Confirmed
	}
	for _, a := range answers.Received {
		if !a.Versions.Sole || a.Versions.Build != v.Build {
			return Resolution{Source: Unknown}
		}
	}
	if !v.Sole || !confirmed && !answers.Everyone {
		return Resolution{Source: Unknown}
	}
	return soleVersion(service, v.Build)
}

func soleVersion(service, build string) Resolution {
	return Resolution{Origin: Origin{Service: service, Build: build}, Source: SoleVersion}
}
