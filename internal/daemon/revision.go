package daemon

import "runtime/debug"

// unknownRevision stands for the revision of a build outside of a repository.
const unknownRevision = "unknown"

// Revision returns the revision of the repository from which the running program was built,
// its first 12 characters, with "+" if files had been changed.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownRevision
	}
	return revisionOf(info.Settings)
}

// revisionOf returns the revision that the settings of a build name.
func revisionOf(settings []debug.BuildSetting) string {
	revision, modified := unknownRevision, ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), 12)]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+"
		}
	}
	return revision + modified
}
