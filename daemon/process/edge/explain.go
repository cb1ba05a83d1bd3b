package edge

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/process/placement"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// explain tells an operator where a request would go now. Its error is an operator.ErrBadQuestion.
func (d *Daemon) explain(asked operator.ExplainRequest) (operator.ExplainResponse, error) {
	prompt, err := explainedPrompt(asked.Prompt)
	if err != nil {
		return operator.ExplainResponse{}, err
	}
	outlook, err := d.handler.Explain(serve.Question{
		Route: asked.Route, Host: asked.Host, Path: asked.Path, Account: asked.Account, RequestID: asked.RequestID,
		Prompt: prompt, BodyBytes: asked.BodyBytes, Deadline: time.Duration(asked.DeadlineMS) * time.Millisecond,
	}, serve.Judges{Place: d.placing.Explain, Held: d.quarantine.Judge, AdmittedFraction: d.admission.admittedFraction})
	if err != nil {
		return operator.ExplainResponse{}, errors.Mark(err, operator.ErrBadQuestion)
	}
	response := operator.ExplainResponse{
		VM: d.settings.Load().VM, Version: outlook.Version, ConfigAgeMS: -1, Route: outlook.Route, Pool: outlook.Pool,
		Pools: outlook.Pools, Account: asked.Account, ObjectiveMS: toMillis(outlook.TTFBObjective),
		AdmittedFraction: outlook.AdmittedFraction, Trial: outlook.Trial, Outcome: operator.OutcomeSent,
	}
	if !d.mirror.Confirmed().IsZero() {
		response.ConfigAgeMS = outlook.ConfigAge.Milliseconds()
	}
	if refusal := outlook.Refusal(); refusal != nil {
		response.Outcome = operator.OutcomeRefused
		response.Refusal = &operator.ExplainRefusal{
			BeforePlacement: outlook.EndedBefore != nil, Status: outlook.Status, Reason: string(refusal.Reason), Detail: refusal.Detail,
			RetryAfterMS: toMillis(outlook.RetryAfter), PredictedMS: toMillis(refusal.PredictedTTFB), LimitMS: toMillis(refusal.TTFBLimit),
		}
	}
	if outlook.Placement != nil {
		addPlacement(&response, outlook.Placement)
	}
	return response, nil
}

// explainedPrompt returns the prompt of a question; nil if it has none.
func explainedPrompt(asked *operator.ExplainPrompt) (*request.Prompt, error) {
	if asked == nil {
		return nil, nil
	}
	prompt := &request.Prompt{Tokens: asked.Tokens, MaxOutput: asked.MaxOutput, OutputHint: asked.OutputHint}
	for _, segment := range asked.Segments {
		id, err := strconv.ParseUint(segment.ID, 16, 64)
		if err != nil {
			return nil, errors.Wrapf(operator.ErrBadQuestion, "prompt segment %q is no hexadecimal number", segment.ID)
		}
		prompt.Segments = append(prompt.Segments, request.PromptSegment{ID: id, Tokens: segment.Tokens})
	}
	return prompt, nil
}

// addPlacement adds what the placer decides to a response.
func addPlacement(response *operator.ExplainResponse, e *placement.Explanation) {
	response.PredictedMS = toMillis(e.PredictedTTFB)
	response.ShareUsed, response.OfHighest, response.ShareWindowMS = e.ShareUsed, e.OfHighest, toMillis(e.ShareWindow)
	response.LastResort, response.Omitted = e.LastResort, e.Omitted
	if !e.Rule.IsZero() {
		response.Rule = &operator.ExplainRule{Only: e.Rule.Only, Except: e.Rule.Except, Canary: e.Rule.Among != nil}
	}
	for _, u := range e.Upstreams {
		item := explainedUpstream(u)
		if item.Chosen = e.Chosen == u.Upstream && e.Refusal == nil; item.Chosen {
			response.Upstream = u.Name
		}
		response.Upstreams = append(response.Upstreams, item)
	}
}

func explainedUpstream(u placement.UpstreamExplanation) operator.ExplainUpstream {
	item := operator.ExplainUpstream{
		Name: u.Name, Software: u.Software, Excluded: string(u.Excluded), ExcludedForMS: toMillis(u.ExcludedFor),
		Affinity: u.Affinity, AtCapacity: u.AtCapacity, Chance: u.Chance, ScoreMS: toMillis(u.Score), TTFBMS: toMillis(u.TTFB), LimitMS: toMillis(u.TTFBLimit),
		QueueMS: toMillis(u.Queue), PrefillMS: toMillis(u.Prefill), OverheadMS: toMillis(u.Overhead), NetworkMS: toMillis(u.Network),
		UncachedTokens: u.UncachedTokens, UncachedPenaltyMS: toMillis(u.UncachedPenalty), FailurePenaltyMS: toMillis(u.FailurePenalty),
		RegionPenaltyMS: toMillis(u.RegionPenalty), LoadPenaltyMS: toMillis(u.LoadPenalty),
		Slowness: u.Slowness, PacePercent: u.PacePercent, Own: u.Own, Peers: u.Peers, PeerAgeMS: millisOf(u.PeerAge),
		Running: u.Load.Running, Waiting: u.Load.Waiting, Slots: u.Load.Slots, LoadAgeMS: millisOf(u.LoadAge),
	}
	if u.PacePercent > 0 {
		item.PaceAgeMS = millisOf(&u.PaceAge)
	}
	for _, limit := range u.Limits {
		item.Limits = append(item.Limits, operator.ExplainLimit{
			Kind: string(limit.Kind), WindowMS: toMillis(limit.Window), Sent: limit.Sent, Quota: limit.Quota, AgeMS: toMillis(limit.Age),
		})
	}
	return item
}

// toMillis returns a duration in milliseconds, in steps of 10 us.
func toMillis(d time.Duration) float64 {
	const stepsPerMillisecond = 100
	return float64(d.Round(time.Millisecond/stepsPerMillisecond)) / float64(time.Millisecond)
}

// millisOf returns a duration in milliseconds; nil if there is none.
func millisOf(d *time.Duration) *float64 {
	if d == nil {
		return nil
	}
	millis := toMillis(*d)
	return &millis
}
