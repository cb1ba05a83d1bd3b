package mirror

import (
	"maps"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

func (m *Mirror) publishMembers() {
	members := make(map[version.VMID][]byte, len(m.members.entries))
	for name, entry := range m.members.entries {
		members[version.VMID(name)] = entry.object.Spec
	}
	m.options.Members(members)
}

// maxLoggedName limits the name of an object in the log, in bytes.
const maxLoggedName = 128

func (m *Mirror) decodeUpstreams(k *kindCopy, source string) {
	for name, entry := range k.entries {
		if entry.decoded {
			continue
		}
		entry.decoded = true
		upstream, err := platform.DecodeUpstream(name, entry.object.Spec, time.Now())
		if err != nil {
			m.options.Log.Warn("registration is malformed, the upstream gets no work",
				"upstream", name[:min(len(name), maxLoggedName)], "revision", entry.object.Revision, "source", source, "error", err)
			continue
		}
		entry.upstream = upstream
		m.options.Log.Info("upstream registered", "upstream", name, "address", upstream.Address,
			"data_centre", upstream.DataCentre, "draining", upstream.Draining, "software", upstream.Software,
			"cold", !upstream.ColdUntil.IsZero(), "revision", entry.object.Revision, "source", source)
	}
}

// publish passes the present state to Apply.
func (m *Mirror) publish() {
	if m.base == nil || !m.upstreams.listed || !m.evacuations.listed || !m.rolloutsKnown() || !m.published && m.mayHaveMissedReturn(m.options.Clock()) {
		// With a part of the state only, requests would be refused for lack of upstreams or
		// sent to an evacuated data centre; with an older one, to upstreams that drain or
		// are cold.
		return
	}
	m.published = true
	upstreams := make(map[version.UpstreamID]*version.Upstream)
	for entry := range maps.Values(m.upstreams.entries) {
		if entry.upstream != nil {
			upstreams[entry.upstream.ID] = entry.upstream
		}
	}
	var out version.OutOfService
	for name := range m.evacuations.entries {
		out.DataCentres = append(out.DataCentres, version.DataCentreID(name))
	}
	m.noteVersions(upstreams)
	m.options.Apply(m.base.WithUpstreams(upstreams, out))
}
