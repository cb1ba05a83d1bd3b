package relay

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// chargeStep is the uncharged cost, in generated tokens, at which a stream is charged
	// at once.
	chargeStep request.Cost = 32
	// chargeInterval is the longest time that the cost of a stream stays uncharged.
	chargeInterval = 100 * time.Millisecond
)

// meter counts the cost of an attempt and charges it to the account in steps.
//
// Invariant: charged never exceeds total, and they are equal after settle.
type meter struct {
	accounting Accounting
	request    request.ID
	account    version.AccountID
	prompt     request.Cost
	total      request.Cost
	charged    request.Cost
	chargedAt  time.Time
	usage      *request.Usage
}

func newMeter(accounting Accounting, call Call) *meter {
	m := &meter{accounting: accounting, request: call.Grant.ID, account: call.Account, chargedAt: time.Now()}
	if call.Kind == version.PoolModel {
		m.prompt = request.PromptCost(request.PromptTokens(len(call.Body)))
	}
	return m
}

// countEvent adds one event of a stream, which stands for one generated token. The first
// one also adds the cost of the prompt.
func (m *meter) countEvent(next event) {
	if m.total == 0 {
		m.total = m.prompt
	}
	m.total++
	if bytes.Contains(next.raw, usageField) {
		if usage, reported := usageOf(next.data()); reported {
			m.usage = &usage
		}
	}
	now := time.Now()
	if m.total-m.charged >= chargeStep || now.Sub(m.chargedAt) >= chargeInterval {
		m.charge(now)
	}
}

// countResponse records the usage of a model engine's non-streamed response. If the engine
// reports none, it is estimated from the sizes of the prompt and the response.
func (m *meter) countResponse(body []byte) {
	usage, reported := usageOf(body)
	if !reported {
		usage = request.Usage{
			Prompt:    int(m.prompt * request.PromptDiscount),
			Generated: request.PromptTokens(len(body)),
		}
	}
	m.usage = &usage
}

// countPlainCall sets the cost of a plain service's call from its duration.
func (m *meter) countPlainCall(elapsed time.Duration) { m.total = request.PlainCallCost(elapsed) }

// settle corrects the total to the usage that the engine reported and charges the rest.
// Cost that has already been charged is not refunded.
func (m *meter) settle() {
	if m.usage != nil {
		m.total = max(m.usage.Cost(), m.charged)
	}
	m.charge(time.Now())
}

func (m *meter) charge(now time.Time) {
	if uncharged := m.total - m.charged; uncharged > 0 {
		m.accounting.Charge(m.request, m.account, uncharged)
		m.charged = m.total
	}
	m.chargedAt = now
}

// usageBody is the part of a response that the meter reads.
type usageBody struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// maxUsageTokens is the largest token count that is accepted from an engine; a report above
// it is ignored.
const maxUsageTokens = 10_000_000

// usageField is the name of the field of a report.
var usageField = []byte(`"usage"`)

// usageOf returns the usage that a response or an event reports. It returns false if there
// is no valid report.
func usageOf(data []byte) (request.Usage, bool) {
	if !bytes.Contains(data, usageField) {
		return request.Usage{}, false
	}
	var body usageBody
	if err := json.Unmarshal(data, &body); err != nil || body.Usage == nil {
		return request.Usage{}, false
	}
	usage := request.Usage{Prompt: body.Usage.PromptTokens, Generated: body.Usage.CompletionTokens}
	if usage.Prompt < 0 || usage.Generated < 0 || usage.Prompt > maxUsageTokens || usage.Generated > maxUsageTokens {
		return request.Usage{}, false
	}
	return usage, true
}
