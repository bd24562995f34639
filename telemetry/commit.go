package telemetry

import "runtime/debug"

// Commit returns the commit of the source that the program was built from, with "+" where
// the source had uncommitted changes; "unknown" if the build did not record it.
func Commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+"
		}
	}
	return commit + modified
}
