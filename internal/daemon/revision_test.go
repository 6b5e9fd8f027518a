package daemon

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// TestRevision guards against a build that is shown as a clean one although its files had
// been changed, and against a missing revision.
func TestRevision(t *testing.T) {
	is := is.New(t)
	clean := []debug.BuildSetting{{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "false"}}
	is.Equal(revisionOf(clean), "0123456789ab")
	is.Equal(revisionOf(append(clean, debug.BuildSetting{Key: "vcs.modified", Value: "true"})), "0123456789ab+")
	is.Equal(revisionOf(nil), unknownRevision)
}
