package edge

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"maps"
	"slices"
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
	// reportInterval is the time between two load reports to the other processes. It is a
	// tenth of the time to first token that callers expect.
	reportInterval = 40 * time.Millisecond
	// largeFleetReportInterval replaces reportInterval in a large fleet, where a single
	// process contributes little to the total load.
	largeFleetReportInterval = 120 * time.Millisecond
	// reportsPerLimitReport is the number of load reports for each report of the limits that
	// upstreams name.
	reportsPerLimitReport = 2
	// linkPingInterval is the time between two pings on a link, which detect that the
	// other end no longer responds, and linkPingTimeout the time limit for the answer.
	linkPingInterval = 2 * time.Second
	linkPingTimeout  = time.Second
	// secretName is the name of the object that holds the fleet secret, and
	// memberSecretName the name of its copy among the members.
	secretName       = "secret"
	memberSecretName = "fleet-secret"
	// secretTimeout is the time after which any member, not only the first, publishes the
	// secret, and secretPollInterval the time between two checks for it.
	secretTimeout      = 1500 * time.Millisecond
	secretPollInterval = 50 * time.Millisecond
	// firstListDelay is the time that processes which start together get to register
	// before the members are listed.
	firstListDelay = 400 * time.Millisecond
)

// fleetSecret is the object by which the processes of the fleet authenticate each other. The
// process that first finds it missing generates it.
type fleetSecret struct {
	Secret string `json:"secret"`
}

func (d *Daemon) newPeerManager(secret string) *peer.Manager {
	settings := d.settings.Load()
	return peer.New(peer.Options{
		Secret:       secret,
		Scheme:       "ws",
		Handler:      (*peerHandler)(d),
		PingInterval: linkPingInterval,
		PingTimeout:  linkPingTimeout,
		Hello: func() wire.Hello {
			return wire.Hello{
				VM:          settings.VM,
				DataCentre:  settings.DataCentre,
				Incarnation: d.incarnation,
				Leaving:     d.leaving.Load(),
			}
		},
		Log: d.log,
	})
}

// linkPeers connects to the other processes once the fleet secret is known, then sends them
// load and limit reports until ctx ends.
func (d *Daemon) linkPeers(ctx context.Context) error {
	secret, err := d.obtainSecret(ctx)
	if err != nil {
		return err
	}
	peers := d.newPeerManager(secret)
	d.peers.Store(peers)
	d.connectPeers(ctx)
	for round := 0; ; round++ {
		if round%reportsPerLimitReport == 0 {
			for _, message := range d.placing.LimitOutbox() {
				peers.Send(message.To, message.Report)
			}
		}
		if err := wait.Sleep(ctx, d.sendReports(peers)); err != nil {
			return err
		}
	}
}

// sendReports sends this process's load and pace reports and returns the pause until the next call.
func (d *Daemon) sendReports(peers *peer.Manager) time.Duration {
	outbox := d.placing.Outbox()
	for _, message := range outbox {
		// A process without a link gets the totals with a later report.
		peers.Send(message.To, message.Work)
	}
	for _, message := range d.placing.PaceOutbox() {
		peers.Send(message.To, message.Report)
	}
	if d.fleetSize.Load() > exchange.MaxMeshMembers {
		return largeFleetReportInterval
	}
	return reportInterval
}

// obtainSecret waits for the fleet secret and returns it, or the error of ctx. The secret is
// stored among the members, so that a process gets it with their list and needs no call of
// its own. The member whose name sorts first publishes it there; after secretTimeout any
// member does.
func (d *Daemon) obtainSecret(ctx context.Context) (string, error) {
	start := time.Now()
	for {
		if secret := d.secret.Load(); secret != nil {
			return *secret, nil
		}
		if d.isFirstMember.Load() || time.Since(start) > secretTimeout {
			if err := d.publishSecret(ctx); err != nil {
				d.log.Warn("cannot publish the fleet secret, will retry", "error", err)
			}
		}
		if err := wait.Sleep(ctx, secretPollInterval); err != nil {
			return "", err
		}
	}
}

// publishSecret stores the fleet secret among the members, where the next list or watch of
// the other processes finds it.
func (d *Daemon) publishSecret(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	spec, err := d.readOrCreateSecret(callCtx)
	if err != nil {
		return err
	}
	_, err = d.store.Create(callCtx, platform.KindMember, memberSecretName, spec)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return err
	}
	// On a conflict another process has published the same secret already.
	d.setSecret(spec)
	return nil
}

// readOrCreateSecret returns the content of the object that holds the secret. If there is none, it
// stores the secret that this process knows, or generates one.
func (d *Daemon) readOrCreateSecret(ctx context.Context) ([]byte, error) {
	object, err := d.store.Get(ctx, platform.KindFleet, secretName)
	if err == nil || !errors.Is(err, platform.ErrNotFound) {
		return object.Spec, err
	}
	secret := rand.Text()
	if known := d.secret.Load(); known != nil {
		secret = *known
	}
	spec, err := json.Marshal(fleetSecret{Secret: secret})
	if err != nil {
		return nil, errors.Wrap(err, "encode secret")
	}
	// If another process has stored a secret in the meantime, this fails with a conflict,
	// and the next attempt reads that secret.
	if _, err := d.store.Create(ctx, platform.KindFleet, secretName, spec); err != nil {
		return nil, err
	}
	return spec, nil
}

// setSecret decodes and sets the fleet secret. A malformed secret is logged and ignored.
func (d *Daemon) setSecret(spec []byte) {
	var decoded fleetSecret
	if err := json.Unmarshal(spec, &decoded); err != nil || decoded.Secret == "" {
		d.log.Warn("fleet secret is malformed, ignored", "error", err)
		return
	}
	d.secret.Store(&decoded.Secret)
}

// setMembers sets the processes of the fleet from their entries in the store, and updates the
// links. A malformed entry is logged and ignored.
func (d *Daemon) setMembers(specs map[version.VMID][]byte) {
	addresses := make(map[version.VMID]string, len(specs))
	members := make([]exchange.Member, 0, len(specs))
	if spec, present := specs[memberSecretName]; present {
		d.setSecret(spec)
		delete(specs, memberSecretName)
	}
	d.setHeld(specs[memberHeldName])
	delete(specs, memberHeldName)
	d.software.setRecord(specs[memberSoftwareName])
	delete(specs, memberSoftwareName)
	lowestName := d.settings.Load().VM
	for vm, spec := range specs {
		lowestName = min(lowestName, vm)
		var m member
		if err := json.Unmarshal(spec, &m); err != nil || m.Peers == "" {
			d.log.Warn("member entry is malformed, ignored", "member", vm, "error", err)
			continue
		}
		addresses[vm] = m.Peers
		members = append(members, exchange.Member{VM: vm, DataCentre: m.DataCentre, Capacity: m.Cores})
	}
	d.isFirstMember.Store(lowestName == d.settings.Load().VM)
	d.quarantine.SetMembers(slices.Sorted(maps.Keys(addresses)))
	peerAddresses := make(map[version.VMID]string)
	for _, vm := range d.placing.SetMembers(members) {
		peerAddresses[vm] = addresses[vm]
	}
	previous := d.peerAddresses.Swap(&peerAddresses)
	d.fleetSize.Store(int64(len(members)))
	d.log.Info("members", "count", len(members), "links", len(peerAddresses))
	if peers := d.peers.Load(); peers != nil && previous != nil {
		for vm := range *previous {
			if _, remains := peerAddresses[vm]; !remains {
				peers.Disconnect(vm)
			}
		}
	}
	d.connectPeers(context.Background())
}

// connectPeers dials the peers whose names sort after this process's; the others dial this
// process.
func (d *Daemon) connectPeers(ctx context.Context) {
	peers, peerAddresses := d.peers.Load(), d.peerAddresses.Load()
	if peers == nil || peerAddresses == nil {
		return
	}
	for vm, address := range *peerAddresses {
		if vm > d.settings.Load().VM {
			peers.Connect(ctx, vm, address)
		}
	}
}

// peerHandler is the Daemon as the handler of its links and of the messages of other
// processes.
type peerHandler Daemon

// LinkUp implements peer.Handler.
func (h *peerHandler) LinkUp(hello wire.Hello) {
	h.log.Info("linked", "peer", hello.VM, "incarnation", hello.Incarnation)
	if peers := h.peers.Load(); peers != nil {
		h.quarantine.LinkUp(hello.VM, peers)
		h.software.linkUp(hello.VM)
	}
}

// Receive implements peer.Handler.
func (h *peerHandler) Receive(from wire.Hello, messages []wire.Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case wire.LoadReport:
			h.placing.ReceiveReport(from.VM, m)
		case wire.PaceReport:
			h.placing.ReceivePaces(from.VM, m)
		case wire.LimitReport:
			h.placing.ReceiveLimits(from.VM, m)
		case wire.StateRequest:
			if peers := h.peers.Load(); peers != nil {
				(*Daemon)(h).answerStateRequest(peers, from.VM, m)
			}
		case wire.StateResponse:
			(*Daemon)(h).receiveState(from.VM, m)
		case wire.PromptEvidence:
			h.quarantine.Receive(m)
		case wire.RequestEvidence:
			h.quarantine.ReceiveRequests(m)
		case wire.StreamOrigins:
			h.software.receiveOrigins(from.VM, m)
		case wire.SoftwareRecord:
			h.software.receiveRecord(from.VM, m)
		}
	}
}

// LinkDown implements peer.Handler.
func (h *peerHandler) LinkDown(hello wire.Hello) {
	h.log.Info("link lost", "peer", hello.VM)
	h.placing.ForgetReports(hello.VM)
	h.quarantine.LinkDown(hello.VM)
}
