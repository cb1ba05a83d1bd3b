package relay

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// chargeStep is the service that is charged at once while it streams.
	chargeStep request.Cost = 32
	// chargeInterval is how long streamed service may go uncharged.
	chargeInterval = 100 * time.Millisecond
)

// meter counts what an attempt uses and charges it in steps.
//
// Invariant: what was charged never exceeds total, and after end they are
// equal.
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

// event counts one event of a stream: a generated token.
func (m *meter) event(data []byte) {
	if m.total == 0 {
		m.total = m.prompt
	}
	m.total++
	if usage, reported := usageOf(data); reported {
		m.usage = &usage
	}
	now := time.Now()
	if m.total-m.charged >= chargeStep || now.Sub(m.chargedAt) >= chargeInterval {
		m.charge(now)
	}
}

// answer counts a whole answer of a model engine.
func (m *meter) answer(body []byte) {
	usage, reported := usageOf(body)
	if !reported {
		usage = request.Usage{
			Prompt:    int(m.prompt * request.PromptDiscount),
			Generated: request.PromptTokens(len(body)),
		}
	}
	m.usage = &usage
}

// plain counts a call of a plain service.
func (m *meter) plain(elapsed time.Duration) { m.total = request.PlainCallCost(elapsed) }

// end trues up the total with what the engine reported, and charges the rest.
// Service that was charged already is not taken back.
func (m *meter) end() {
	if m.usage != nil {
		m.total = max(m.usage.Cost(), m.charged)
	}
	m.charge(time.Now())
}

func (m *meter) charge(now time.Time) {
	if due := m.total - m.charged; due > 0 {
		m.accounting.Charge(m.request, m.account, due)
		m.charged = m.total
	}
	m.chargedAt = now
}

// usageBody is what the meter reads of an answer.
type usageBody struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// maxUsageTokens bounds the tokens that are believed.
const maxUsageTokens = 10_000_000

// usageOf returns the usage that an answer or an event reports.
func usageOf(data []byte) (request.Usage, bool) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
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
