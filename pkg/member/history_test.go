package member_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
)

var (
	now             = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	noneUnavailable = func(member.ID) bool { return false }
)

func members(n int) []member.Member {
	var list []member.Member
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		list = append(list, member.New(fmt.Sprintf("m-%d", i), address))
	}
	return list
}

func digest(i int) flow.Digest {
	var d flow.Digest
	binary.BigEndian.PutUint64(d[8:], uint64(i)*0x9e3779b97f4a7c15)
	return d
}

func home(v *member.View, d flow.Digest) member.ID {
	var first [1]member.ID
	v.Top(d, first[:])
	return first[0]
}

func TestHistoryKeepsEarlierHomesUntilSettled(t *testing.T) {
	is := is.New(t)
	all := members(8)
	before := member.NewView(1, 1, all[:7])
	after := member.NewView(1, 2, all)
	h := member.NewHistory(now, before, 0).WithView(now, after)
	joined := all[7].ID()
	moved := 0
	for i := range 500 {
		d := digest(i)
		if home(after, d) != joined {
			is.True(h.IsHomeInAllViews(d, home(after, d)))
			continue
		}
		moved++
		is.True(!h.IsHomeInAllViews(d, joined)) // the earlier home may own the flow or hold its registration
		is.True(slices.Contains(h.SearchTargets(d, noneUnavailable, nil), home(before, d)))
		is.True(h.Settle().IsHomeInAllViews(d, joined))
	}
	is.True(moved > 0)
	is.True(!h.CurrentSince(now))
	is.True(h.CurrentSince(now.Add(time.Second)))
}

func TestJoinedMemberKeepsViewWithoutIt(t *testing.T) {
	is := is.New(t)
	view := member.NewView(1, 1, members(3))
	self := view.Members()[0].ID()
	h := member.NewHistory(now, view, self)
	is.True(!h.Settled())
	for i := range 100 {
		is.True(!h.IsHomeInAllViews(digest(i), self))
	}
}

func TestNextMembersAreSearchedIfHomeIsUnavailable(t *testing.T) {
	is := is.New(t)
	view := member.NewView(1, 1, members(7))
	h := member.NewHistory(now, view, 0)
	d := digest(1)
	unavailable := func(id member.ID) bool { return id == home(view, d) }
	is.Equal(len(h.SearchTargets(d, noneUnavailable, nil)), 1)
	is.Equal(len(h.SearchTargets(d, unavailable, nil)), 4)
}

func TestFingerprintCoversWeightIncarnationAndLeaving(t *testing.T) {
	is := is.New(t)
	list := members(3)
	with := func(opt member.Option) uint64 {
		changed := slices.Clone(list)
		changed[1] = changed[1].Apply(opt)
		return member.NewView(1, 9, changed).Fingerprint()
	}
	base := member.NewView(1, 1, list).Fingerprint()
	is.Equal(with(member.WithState(member.Draining)), base) // homes do not change
	is.True(with(member.WithWeight(7)) != base)
	is.True(with(member.WithIncarnation(2)) != base)
	withoutMember := member.NewView(1, 1, []member.Member{list[0], list[2]}).Fingerprint()
	is.Equal(with(member.WithState(member.Leaving)), withoutMember) // excluded from the order
}
