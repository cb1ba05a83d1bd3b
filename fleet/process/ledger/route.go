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

// Owner is who writes a shard. An empty VM stands for the daemon itself.
type Owner struct {
	VM version.VMID
	// Relay is set if the VM only passes messages on to the writer, which is
	// in its data centre.
	Relay bool
}

// Owners names each shard's writer.
//
// The table only gathers claims into few writes: daemons whose tables differ
// stay safe, because each write is conditional.
type Owners [Shards]Owner

// NewOwners gives each shard to a data centre by rendezvous hashing and then
// to a VM in it. linked holds the daemon itself and those that it has links
// to. A data centre without a linked member is passed over.
func NewOwners(self membership.Member, dataCentres []version.DataCentreID, linked membership.View) Owners {
	var owners Owners
	for shard := range owners {
		key := "ledger/" + strconv.Itoa(shard)
		for _, dataCentre := range ranked(dataCentres, key) {
			owner, found := ownerIn(self, dataCentre, key, linked)
			if found {
				owners[shard] = owner
				break
			}
		}
	}
	return owners
}

// ownerIn returns the writer in the own data centre, or a contact in another.
func ownerIn(self membership.Member, dataCentre version.DataCentreID, key string, linked membership.View) (Owner, bool) {
	if dataCentre == self.DataCentre {
		vm, found := linked.Owner(dataCentre, key)
		return Owner{VM: vm}, found
	}
	vm, found := linked.Owner(dataCentre, "ledger-contact/"+string(self.VM))
	return Owner{VM: vm, Relay: true}, found
}

// ranked orders the data centres by their rendezvous score for key.
func ranked(dataCentres []version.DataCentreID, key string) []version.DataCentreID {
	score := func(id version.DataCentreID) uint64 {
		return xxhash.Sum64String(key + "\x00" + string(id))
	}
	sorted := slices.Clone(dataCentres)
	slices.SortFunc(sorted, func(a, b version.DataCentreID) int {
		return cmp.Compare(score(b), score(a))
	})
	return sorted
}

// send sends a message, or keeps it for advance if it is for this daemon. A
// daemon that was heard through another is answered the same way.
func (l *Ledger) send(to version.VMID, message wire.Message) {
	if to == l.options.VM {
		l.local = append(l.local, message)
		return
	}
	if contact, relayed := l.contacts[to]; relayed {
		l.relay(contact, to, message)
		return
	}
	l.act(Send{To: to, Message: message})
}

// sendOwner sends a message to a shard's writer.
func (l *Ledger) sendOwner(owner Owner, message wire.Message) {
	switch {
	case owner.VM == l.options.VM:
		l.local = append(l.local, message)
	case owner.Relay:
		l.relay(owner.VM, "", message)
	default:
		l.act(Send{To: owner.VM, Message: message})
	}
}

// relay sends a message through a contact. Of a message that cannot be encoded
// nothing is sent; it is handled as one that was lost.
func (l *Ledger) relay(contact, to version.VMID, message wire.Message) {
	wrapped, err := wire.NewLedgerRelay(l.options.VM, to, message)
	if err == nil {
		l.act(Send{To: contact, Message: wrapped})
	}
}

// relayed handles a message that came through another daemon or is to be
// passed on. It is passed on within one data centre only, so it cannot circle.
func (l *Ledger) relayed(now time.Time, from version.VMID, m wire.LedgerRelay) {
	message, err := m.Unwrap()
	if err != nil {
		return
	}
	to := m.To
	if to == "" {
		to = l.writerHere(message)
	}
	if to != l.options.VM {
		l.act(Send{To: to, Message: wire.LedgerRelay{From: m.From, To: to, Inner: m.Inner, Body: m.Body}})
		return
	}
	if m.From == from {
		delete(l.contacts, m.From)
	} else {
		l.contacts[m.From] = from
	}
	l.receive(now, m.From, message)
}

// writerHere returns who writes a message's shard as seen from here. It is
// this daemon if the table names another data centre.
func (l *Ledger) writerHere(message wire.Message) version.VMID {
	subject, ok := subjectIn(message)
	if !ok {
		return l.options.VM
	}
	owner := l.owners[placeOf(subject).Shard]
	if owner.Relay || owner.VM == "" {
		return l.options.VM
	}
	return owner.VM
}

// subjectIn returns the subject of a message to a writer.
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
