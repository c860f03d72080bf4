package ports

import (
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/backend/engine"
	"jaywind/internal/backend/service"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/evidence"
	"jaywind/internal/fleet/gossip"
	"jaywind/internal/fleet/journal"
	"jaywind/internal/fleet/ledger"
	"jaywind/internal/fleet/quota"
	"jaywind/internal/operator/settings"
	"jaywind/internal/provider/vms"
	"jaywind/internal/provider/weights"
)

// newRouter returns a router with the clients that its settings configure.
func newRouter(s settings.Settings, log *zap.Logger, committer *ledger.Committer) *embed.Router {
	client := cbor.NewHTTPClient(s.Secret)
	peers := &gossip.Client{HTTP: client}
	remote := &ledger.Client{HTTP: client}
	claims := &ledger.Forwarder{Self: s.Name(), Local: committer, Remote: remote, Recall: committer.Recall}
	r := &embed.Router{
		Self:            s.Name(),
		Domain:          jaywind.Domain(s.Domain),
		Seed:            xxhash.Sum64String(s.VM),
		Engine:          &engine.Client{},
		Service:         &service.Client{},
		Fleet:           jaywind.Address("http://" + s.Listen.Fleet),
		Entry:           jaywind.Address("http://" + s.Listen.Caller),
		Gossiper:        peers,
		RulesPeer:       peers,
		Reporter:        &evidence.Client{HTTP: client},
		DemandExchanger: &quota.Client{HTTP: client},
		Claims:          claims,
		Journal:         &journal.Client{HTTP: client},
		Store:           committer.Store,
		Log:             log,
	}
	claims.Members = r.Members
	claims.Recall.Members, claims.Recall.Replay, claims.Recall.Notify = r.Members, claims.Replay, remote.Notify
	for _, u := range s.Fleet.Seeds {
		r.Seeds = append(r.Seeds, jaywind.Address(u))
	}
	if s.Weights.URL != "" {
		r.Weights = &weights.Client{URL: jaywind.Address(s.Weights.URL)}
	}
	if s.Directory.URL != "" {
		r.VMList = &vms.Client{URL: jaywind.Address(s.Directory.URL)}
	}
	return r
}
