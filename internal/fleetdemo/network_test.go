package fleetdemo

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// TestSitesUseNetworksOfTheirOwn covers two runs on one machine at the same time: on one
// network, their processes would take each other's ports.
func TestSitesUseNetworksOfTheirOwn(t *testing.T) {
	is := is.New(t)
	a, err := newSite(maxNetwork, zap.NewNop())
	is.NoErr(err)
	b, err := newSite(maxNetwork, zap.NewNop())
	is.NoErr(err)
	is.True(a.network != b.network)
	is.NoErr(a.close())
	is.NoErr(b.close())
}
