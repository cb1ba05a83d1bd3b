package edge

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/peer"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// reportInterval is how often the other processes are told of this one's
	// work. It is a tenth of the time to a first token that callers expect.
	reportInterval = 40 * time.Millisecond
	// largeReportInterval is the same in a large fleet, where no single process
	// changes much of the whole.
	largeReportInterval = 120 * time.Millisecond
	// linkAliveInterval and linkAliveTimeout find a link that has gone silent.
	linkAliveInterval = 2 * time.Second
	linkAliveTimeout  = time.Second
	// secretName is the object that holds the fleet's secret, and memberSecret its copy
	// among the members.
	secretName   = "secret"
	memberSecret = "fleet-secret"
	// secretPatience is how long the first member has to write the secret, and
	// secretPause how often it is looked for.
	secretPatience = 1500 * time.Millisecond
	secretPause    = 50 * time.Millisecond
	// firstListDelay is the time in which processes that start together register.
	firstListDelay = 400 * time.Millisecond
)

// fleetSecret is what the processes of the fleet know each other by. The first
// one to start draws it.
type fleetSecret struct {
	Secret string `json:"secret"`
}

func (e *Edge) newPeers(secret string) *peer.Manager {
	settings := e.settings.Load()
	return peer.New(peer.Options{
		Secret:        secret,
		Scheme:        "ws",
		Handler:       (*peerHandler)(e),
		AliveInterval: linkAliveInterval,
		AliveTimeout:  linkAliveTimeout,
		Hello: func() wire.Hello {
			return wire.Hello{
				VM:          settings.VM,
				DataCentre:  settings.DataCentre,
				Incarnation: e.incarnation,
				Leaving:     e.leaving.Load(),
			}
		},
		Log: e.log,
	})
}

// link joins the other processes once the fleet's secret is known, and tells
// them of this one's work until ctx ends.
func (e *Edge) link(ctx context.Context) error {
	secret, err := e.agreeSecret(ctx)
	if err != nil {
		return err
	}
	peers := e.newPeers(secret)
	e.peers.Store(peers)
	e.connect(ctx)
	for {
		if err := wait.Sleep(ctx, e.report(peers)); err != nil {
			return err
		}
	}
}

// report tells the others of this process's work and returns the pause until the
// next time.
func (e *Edge) report(peers *peer.Manager) time.Duration {
	outbox := e.placing.Outbox()
	for _, message := range outbox {
		// A process without a link is told the totals later.
		peers.Send(message.To, message.Work)
	}
	if e.fleetSize.Load() > exchange.MeshMembers {
		return largeReportInterval
	}
	return reportInterval
}

// agreeSecret returns the fleet's secret. It stands among the members, so that a process
// that lists them needs no call for it. The member whose name comes first writes it there,
// or any one after a while.
func (e *Edge) agreeSecret(ctx context.Context) (string, error) {
	started := time.Now()
	for {
		if secret := e.secret.Load(); secret != nil {
			return *secret, nil
		}
		if e.firstMember.Load() || time.Since(started) > secretPatience {
			if err := e.shareSecret(ctx); err != nil {
				e.log.Warn("fleet's secret is not known yet", "error", err)
			}
		}
		if err := wait.Sleep(ctx, secretPause); err != nil {
			return "", err
		}
	}
}

// shareSecret writes the fleet's secret among the members, where the next list or watch
// finds it.
func (e *Edge) shareSecret(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	spec, err := e.readSecret(call)
	if err != nil {
		return err
	}
	_, err = e.store.Create(call, platform.KindMember, memberSecret, spec)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return err
	}
	// In a conflict another process was first, with the same secret.
	e.takeSecret(spec)
	return nil
}

// readSecret returns the object that holds the secret, and draws one if there is none.
func (e *Edge) readSecret(ctx context.Context) ([]byte, error) {
	object, err := e.store.Get(ctx, platform.KindFleet, secretName)
	if err == nil || !errors.Is(err, platform.ErrNotFound) {
		return object.Spec, err
	}
	spec, err := json.Marshal(fleetSecret{Secret: rand.Text()})
	if err != nil {
		return nil, errors.Wrap(err, "encode secret")
	}
	// If another process was first, the next read finds its secret.
	if _, err := e.store.Create(ctx, platform.KindFleet, secretName, spec); err != nil {
		return nil, err
	}
	return spec, nil
}

// takeSecret takes the fleet's secret.
func (e *Edge) takeSecret(spec []byte) {
	var known fleetSecret
	if err := json.Unmarshal(spec, &known); err != nil || known.Secret == "" {
		e.log.Warn("fleet's secret is malformed", "error", err)
		return
	}
	e.secret.Store(&known.Secret)
}

// setMembers takes the processes of the fleet.
func (e *Edge) setMembers(specs map[version.VMID][]byte) {
	addresses := make(map[version.VMID]string, len(specs))
	members := make([]exchange.Member, 0, len(specs))
	if spec, known := specs[memberSecret]; known {
		e.takeSecret(spec)
		delete(specs, memberSecret)
	}
	first := e.settings.Load().VM
	for vm, spec := range specs {
		first = min(first, vm)
		var m member
		if err := json.Unmarshal(spec, &m); err != nil || m.Peers == "" {
			e.log.Warn("member is malformed", "member", vm, "error", err)
			continue
		}
		addresses[vm] = m.Peers
		members = append(members, exchange.Member{VM: vm, DataCentre: m.DataCentre, Capacity: m.Cores})
	}
	e.firstMember.Store(first == e.settings.Load().VM)
	linksTo := make(map[version.VMID]string)
	for _, vm := range e.placing.SetMembers(members) {
		linksTo[vm] = addresses[vm]
	}
	before := e.linksTo.Swap(&linksTo)
	e.fleetSize.Store(int64(len(members)))
	e.log.Info("members", "count", len(members), "links", len(linksTo))
	if peers := e.peers.Load(); peers != nil && before != nil {
		for vm := range *before {
			if _, stays := linksTo[vm]; !stays {
				peers.Disconnect(vm)
			}
		}
	}
	e.connect(context.Background())
}

// connect keeps links to the processes that this one dials: those with a higher
// name.
func (e *Edge) connect(ctx context.Context) {
	peers, linksTo := e.peers.Load(), e.linksTo.Load()
	if peers == nil || linksTo == nil {
		return
	}
	for vm, address := range *linksTo {
		if vm > e.settings.Load().VM {
			peers.Connect(ctx, vm, address)
		}
	}
}

// peerHandler takes what other processes say.
type peerHandler Edge

// LinkUp implements peer.Handler.
func (h *peerHandler) LinkUp(hello wire.Hello) {
	h.log.Info("linked", "peer", hello.VM, "incarnation", hello.Incarnation)
}

// Receive implements peer.Handler.
func (h *peerHandler) Receive(from wire.Hello, messages []wire.Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case wire.Work:
			h.placing.Hear(from.VM, m)
		case wire.StateAsk:
			if peers := h.peers.Load(); peers != nil {
				(*Edge)(h).answerReader(peers, from.VM, m)
			}
		case wire.StateTell:
			(*Edge)(h).takeState(from.VM, m)
		}
	}
}

// LinkDown implements peer.Handler.
func (h *peerHandler) LinkDown(hello wire.Hello) {
	h.log.Info("link lost", "peer", hello.VM)
	h.placing.Forget(hello.VM)
}
