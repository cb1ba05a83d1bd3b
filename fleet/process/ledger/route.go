package ledger

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Owner is the daemon that writes a shard. An empty VM means the daemon itself.
type Owner struct {
	VM version.VMID
	// Relay is set if the VM only relays messages to the owner, which is in the
	// VM's data centre.
	Relay bool
}

// Owners maps each shard to its owner.
//
// The table only serves to batch claims into few writes. Daemons with different
// tables stay safe, because each write is conditional.
type Owners [ShardCount]Owner

// NewOwners assigns each shard to a data centre by rendezvous hashing and then to
// a VM in it. linked contains the daemon itself and those that it has links to. A
// data centre without a linked member is skipped.
func NewOwners(self membership.Member, dataCentres []version.DataCentreID, linked membership.View) Owners {
	var owners Owners
	for shard := range owners {
		key := "ledger/" + strconv.Itoa(shard)
		for _, dataCentre := range rankedByScore(dataCentres, key) {
			owner, found := ownerInDataCentre(self, dataCentre, key, linked)
			if found {
				owners[shard] = owner
				break
			}
		}
	}
	return owners
}

// ownerInDataCentre returns a shard's owner in the daemon's own data centre, or
// the relay to use in another one.
func ownerInDataCentre(self membership.Member, dataCentre version.DataCentreID, key string, linked membership.View) (Owner, bool) {
	if dataCentre == self.DataCentre {
		vm, found := linked.Owner(dataCentre, key)
		return Owner{VM: vm}, found
	}
	vm, found := linked.Owner(dataCentre, "ledger-contact/"+string(self.VM))
	return Owner{VM: vm, Relay: true}, found
}

// rankedByScore orders the data centres by their rendezvous score for key.
func rankedByScore(dataCentres []version.DataCentreID, key string) []version.DataCentreID {
	score := func(id version.DataCentreID) uint64 {
		return xxhash.Sum64String(key + "\x00" + string(id))
	}
	sorted := slices.Clone(dataCentres)
	slices.SortFunc(sorted, func(a, b version.DataCentreID) int {
		return cmp.Compare(score(b), score(a))
	})
	return sorted
}

// send sends a message to another daemon, or queues it for advance if it is for
// this daemon. A daemon whose last message was relayed is answered through the
// same relay.
func (l *Ledger) send(to version.VMID, message wire.Message) {
	if to == l.options.VM {
		l.localMessages = append(l.localMessages, message)
		return
	}
	if relay, relayed := l.relays[to]; relayed {
		l.relay(relay, to, message)
		return
	}
	l.emit(Send{To: to, Message: message})
}

// sendToOwner sends a message to a shard's owner.
func (l *Ledger) sendToOwner(owner Owner, message wire.Message) {
	switch {
	case owner.VM == l.options.VM:
		l.localMessages = append(l.localMessages, message)
	case owner.Relay:
		l.relay(owner.VM, "", message)
	default:
		l.emit(Send{To: owner.VM, Message: message})
	}
}

// relay sends a message through the daemon via. A message that cannot be encoded
// is not sent and is handled like a lost one.
func (l *Ledger) relay(via, to version.VMID, message wire.Message) {
	wrapped, err := wire.NewLedgerRelay(l.options.VM, to, message)
	if err == nil {
		l.emit(Send{To: via, Message: wrapped})
	}
}

// handleRelay handles a relayed message that is for this daemon, or passes it on.
// It is passed on only within one data centre, so it cannot loop.
func (l *Ledger) handleRelay(now time.Time, from version.VMID, m wire.LedgerRelay) {
	message, err := m.Unwrap()
	if err != nil {
		return
	}
	to := m.To
	if to == "" {
		to = l.writerInDataCentre(message)
	}
	if to != l.options.VM {
		l.emit(Send{To: to, Message: wire.LedgerRelay{From: m.From, To: to, Inner: m.Inner, Body: m.Body}})
		return
	}
	if m.From == from {
		delete(l.relays, m.From)
	} else {
		l.relays[m.From] = from
	}
	l.receive(now, m.From, message)
}

// writerInDataCentre returns the daemon of this data centre that writes a
// message's shard. It is this daemon if the table names another data centre.
func (l *Ledger) writerInDataCentre(message wire.Message) version.VMID {
	subject, ok := subjectIn(message)
	if !ok {
		return l.options.VM
	}
	owner := l.owners[logIDOf(subject).Shard]
	if owner.Relay || owner.VM == "" {
		return l.options.VM
	}
	return owner.VM
}

// subjectIn returns the subject of a message to a writer. It reports false for
// other messages.
func subjectIn(message wire.Message) (wire.LedgerSubject, bool) {
	switch m := message.(type) {
	case wire.LedgerClaim:
		return m.Subject, true
	case wire.LedgerClose:
		return m.Subject, true
	case wire.LedgerOutcome:
		return m.Subject, true
	default:
		return wire.LedgerSubject{}, false
	}
}
