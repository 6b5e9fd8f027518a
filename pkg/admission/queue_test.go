package admission_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/admission"
)

// TestQueueOrder covers which of the waiting openings an overloaded upstream is given.
// Each is written as NAME:PRIORITY.
func TestQueueOrder(t *testing.T) {
	for _, c := range []struct{ name, waiting, want string }{
		{"newest first, as the oldest are late already", "a:2 b:2 c:2", "c b a"},
		{"urgent routes first", "a:2 b:1 c:2 d:1 e:0", "e d b c a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := admission.NewQueue[string](10)
			for _, text := range strings.Fields(c.waiting) {
				name, priority, _ := strings.Cut(text, ":")
				_, ok := q.Add(name, admission.Terms{Priority: priority[0] - '0', Until: time.Second})
				is.True(ok)
			}
			var got []string
			for q.Len() > 0 {
				next, ok := q.Next()
				is.True(ok)
				got = append(got, next)
			}
			is.Equal(strings.Join(got, " "), c.want)
			_, ok := q.Next()
			is.True(!ok)
		})
	}
}

// TestQueueBounds covers the limits of waiting: an opening leaves when its time has
// passed, and a full queue takes no more.
func TestQueueBounds(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue[string](2)
	for _, c := range []struct {
		name  string
		until time.Duration
		added bool
	}{{"short", 10 * ms, true}, {"long", 30 * ms, true}, {"third", 30 * ms, false}} {
		displaced, ok := q.Add(c.name, admission.Terms{Until: c.until})
		is.Equal(len(displaced), 0)
		is.Equal(ok, c.added)
	}
	is.Equal(len(q.Expired(9*ms)), 0)
	is.Equal(q.Expired(10*ms), []string{"short"})
	is.True(q.Contains(func(s string) bool { return s == "long" }))
	is.Equal(q.Clear(), []string{"long"})
	is.Equal(q.Len(), 0)
}
