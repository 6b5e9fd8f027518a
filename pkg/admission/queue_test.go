package admission_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/admission"
)

// TestQueueOrder covers which of the waiting openings an overloaded upstream is given.
// Each is written as NAME:PRIORITY, with "late" if its target latency has passed.
func TestQueueOrder(t *testing.T) {
	for _, c := range []struct{ name, waiting, want string }{
		{"newest first while in time: else all would be late", "a:2 b:2 c:2", "c b a"},
		{"late ones after those in time, the oldest first: its caller gives up first", "a:2late b:2late c:2 d:2", "d c a b"},
		{"all late", "a:2late b:2late c:2late", "a b c"},
		{"urgent routes first", "a:2 b:1late c:2 d:1 e:0", "e d b c a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const now = 100 * ms
			q := admission.NewQueue[string](10)
			for _, text := range strings.Fields(c.waiting) {
				name, terms, _ := strings.Cut(text, ":")
				lateFrom := now + ms
				if strings.HasSuffix(terms, "late") {
					lateFrom = now
				}
				is.True(q.Add(name, admission.Terms{Priority: terms[0] - '0', LateFrom: lateFrom, Until: time.Second}))
			}
			var got []string
			for q.Len() > 0 {
				next, ok := q.Next(now)
				is.True(ok)
				got = append(got, next)
			}
			is.Equal(strings.Join(got, " "), c.want)
			_, ok := q.Next(now)
			is.True(!ok)
		})
	}
}

// TestQueueBounds covers the limits of waiting: an opening leaves when its time has
// passed, and a full queue takes no more.
func TestQueueBounds(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue[string](2)
	is.True(q.Add("short", admission.Terms{Until: 10 * ms}))
	is.True(q.Add("long", admission.Terms{Until: 30 * ms}))
	is.True(!q.Add("third", admission.Terms{Until: 30 * ms}))
	is.Equal(len(q.Expired(9*ms)), 0)
	is.Equal(q.Expired(10*ms), []string{"short"})
	is.True(q.Contains(func(s string) bool { return s == "long" }))
	is.Equal(q.Clear(), []string{"long"})
	is.Equal(q.Len(), 0)
}
