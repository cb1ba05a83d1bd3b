package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
)

// explainCommand implements `explain`.
type explainCommand struct {
	*session  `no-flag:"true"`
	Route     string        `long:"route" description:"name of the route, in place of --host and --path"`
	Host      string        `long:"host" description:"host of the request"`
	Path      string        `long:"path" description:"path of the request"`
	Account   string        `long:"account" description:"name of the client account; without it the request has no API key"`
	Segments  []string      `long:"segment" value-name:"ID:TOKENS" description:"segment of the prompt, as callers write it; may be repeated, in order"`
	Tokens    int           `long:"tokens" description:"tokens of the whole prompt; default the sum of the segments"`
	MaxOutput int           `long:"max-output" description:"most tokens to generate"`
	Hint      int           `long:"output-hint" description:"tokens that the caller expects to be generated"`
	Body      int           `long:"body" description:"size of the body in bytes"`
	Deadline  time.Duration `long:"deadline" description:"how long the caller waits; default as long as the route allows"`
	RequestID string        `long:"request-id" description:"ID of the request, which selects the service of a route that splits its requests"`
	VM        string        `long:"vm" description:"show only this VM, of those given by --operator"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	question, err := c.question()
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	client, err := c.newDaemonClient()
	if err != nil {
		return err
	}
	body, err := json.Marshal(question)
	if err != nil {
		return errors.Wrap(err, "encode question")
	}
	ctx, cancel := c.commandContext()
	defer cancel()
	list := []operator.ExplainResponse{}
	failed := 0
	for _, r := range client.callAll(ctx, c.Operators, http.MethodPost, operator.PathExplain, body) {
		var response operator.ExplainResponse
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &response)
		}
		if r.err != nil {
			failed++
			c.warn("%s: %v", r.address, r.err)
			continue
		}
		if c.VM == "" || string(response.VM) == c.VM {
			list = append(list, response)
		}
	}
	if err := c.print(list); err != nil {
		return err
	}
	switch {
	case c.VM != "" && len(list) == 1:
		return nil
	case failed > 0:
		return errors.Wrapf(errIncomplete, "%d of %d", failed, len(c.Operators))
	case len(list) == 0:
		return errors.Newf("none of the daemons given by --operator is VM %q", c.VM)
	}
	return nil
}

// question returns the question that the flags ask.
func (c *explainCommand) question() (operator.ExplainRequest, error) {
	question := operator.ExplainRequest{
		Route: c.Route, Host: c.Host, Path: c.Path, Account: c.Account, RequestID: c.RequestID, BodyBytes: c.Body, DeadlineMS: c.Deadline.Milliseconds(),
	}
	if c.Route != "" && c.Host+c.Path != "" {
		return question, errors.New("give either --route, or --host and --path")
	}
	if len(c.Segments) > 0 || c.Tokens > 0 || c.MaxOutput > 0 || c.Hint > 0 {
		prompt := &operator.ExplainPrompt{Tokens: c.Tokens, MaxOutput: c.MaxOutput, OutputHint: c.Hint}
		sum := 0
		for _, text := range c.Segments {
			id, count, _ := strings.Cut(text, ":")
			tokens, err := strconv.Atoi(count)
			if _, errID := strconv.ParseUint(id, 16, 64); err != nil || errID != nil {
				return question, errors.Newf("--segment %q is not ID:TOKENS with a hexadecimal ID", text)
			}
			prompt.Segments = append(prompt.Segments, operator.ExplainSegment{ID: id, Tokens: tokens})
			sum += tokens
		}
		if c.Tokens == 0 {
			prompt.Tokens = sum
		}
		question.Prompt = prompt
	}
	return question, question.Check()
}

func (c *explainCommand) print(list []operator.ExplainResponse) error {
	if c.JSON {
		return c.printJSON(list)
	}
	for i, response := range list {
		if i > 0 {
			fmt.Fprintln(c.stdout)
		}
		fmt.Fprintln(c.stdout, strings.Join(explainSummary(&response), "\n"))
		if len(response.Upstreams) == 0 {
			continue
		}
		fmt.Fprintln(c.stdout)
		if err := c.printUpstreams(&response); err != nil {
			return err
		}
	}
	return nil
}

// explainSummary returns the lines that tell the outcome.
func explainSummary(r *operator.ExplainResponse) []string {
	age := "not confirmed by the store"
	if r.ConfigAgeMS >= 0 {
		age = fmt.Sprintf("confirmed %s ago", millisText(float64(r.ConfigAgeMS)))
	}
	lines := []string{fmt.Sprintf("VM %s, configuration %d (%s), route %s, service %s, account %s",
		r.VM, r.Version, age, orDash(r.Route), orDash(r.Pool), orDash(r.Account))}
	if r.Pools > 1 {
		lines = append(lines, fmt.Sprintf("the route splits its requests among %d services by their IDs; see --request-id", r.Pools))
	}
	if refusal := r.Refusal; refusal == nil {
		lines = append(lines, fmt.Sprintf("outcome: sent to %s at once, first byte predicted after %s", r.Upstream, millisText(r.PredictedMS)))
	} else {
		after := "no Retry-After"
		if refusal.RetryAfterMS > 0 {
			after = "Retry-After " + millisText(refusal.RetryAfterMS)
		}
		stage := ""
		if refusal.BeforePlacement {
			stage = ", before an upstream is sought"
		}
		reason := refusal.Reason
		if refusal.Detail != "" {
			reason += " (" + refusal.Detail + ")"
		}
		lines = append(lines, fmt.Sprintf("outcome: refused at once%s: status %d, %s, %s", stage, refusal.Status, reason, after))
		if refusal.LimitMS > 0 {
			lines = append(lines, fmt.Sprintf("first byte predicted after %s at the best upstream, admitted up to %s", millisText(refusal.PredictedMS), millisText(refusal.LimitMS)))
		}
	}
	if r.ShareWindowMS > 0 {
		lines = append(lines, fmt.Sprintf("share: the account has used %.0f %% of its fair share and %.0f %% of what the account with most has had (usage fades within %s)",
			100*r.ShareUsed, 100*r.OfHighest, millisText(r.ShareWindowMS)))
	}
	if r.AdmittedFraction < 1 {
		lines = append(lines, fmt.Sprintf("this VM is behind with its work and admits %.0f %% of requests before any other check", 100*r.AdmittedFraction))
	}
	if r.Trial {
		lines = append(lines, "a segment of the prompt is held; the request would be its trial")
	}
	if r.LastResort {
		lines = append(lines, "all other upstreams are excluded, so unresponsive ones are considered")
	}
	if rule := r.Rule; rule != nil {
		lines = append(lines, fmt.Sprintf("rollout: only version %s, not versions %s, canary upstreams only: %s",
			orDash(rule.Only), orDash(strings.Join(rule.Except, " ")), yesNo(rule.Canary)))
	}
	if r.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d further upstreams are not listed", r.Omitted))
	}
	return lines
}

func (c *explainCommand) printUpstreams(r *operator.ExplainResponse) error {
	var rows [][]string
	for _, u := range r.Upstreams {
		limit := "none"
		if u.LimitMS > 0 {
			limit = millisText(u.LimitMS)
		} else if u.Excluded != "" {
			limit = "-"
		}
		pace := "-"
		if u.PaceAgeMS != nil {
			pace = fmt.Sprintf("%d%% (%s)", u.PacePercent, millisText(*u.PaceAgeMS))
		}
		rows = append(rows, []string{
			u.Name, explainVerdict(&u), millisText(u.ScoreMS), millisText(u.TTFBMS), limit, millisText(u.QueueMS), millisText(u.PrefillMS),
			strconv.Itoa(u.UncachedTokens), millisText(u.NetworkMS), millisText(u.UncachedPenaltyMS + u.FailurePenaltyMS + u.RegionPenaltyMS + u.LoadPenaltyMS),
			fmt.Sprintf("%.2f", u.Slowness), pace, strconv.Itoa(u.Own),
			withAge(strconv.Itoa(u.Peers), u.PeerAgeMS), withAge(fmt.Sprintf("%d+%d/%d", u.Running, u.Waiting, u.Slots), u.LoadAgeMS), explainLimits(u.Limits),
		})
	}
	return c.table(nil, []string{
		"UPSTREAM", "VERDICT", "COST", "TTFB", "ADMITTED", "QUEUE", "PREFILL", "UNCACHED", "NETWORK", "PENALTY", "SLOWNESS", "PACE (AGE)", "OWN", "PEERS (AGE)", "LOAD (AGE)", "SENT/QUOTA",
	}, rows)
}

// explainVerdict returns what the decision makes of an upstream.
func explainVerdict(u *operator.ExplainUpstream) string {
	switch {
	case u.Chance > 0 && u.Chosen:
		return fmt.Sprintf("chosen (%.0f%% of draws)", 100*u.Chance)
	case u.Chosen:
		return "chosen"
	case u.Excluded != "" && u.ExcludedForMS > 0:
		return fmt.Sprintf("%s (%s)", u.Excluded, millisText(u.ExcludedForMS))
	case u.Excluded != "":
		return u.Excluded
	case u.AtCapacity:
		return "full"
	case u.LimitMS > 0 && u.TTFBMS > u.LimitMS:
		return "too slow"
	case u.Chance > 0:
		return fmt.Sprintf("considered (%.0f%% of draws)", 100*u.Chance)
	}
	return "considered"
}

// explainLimits returns how much of its bounds a VM has used at an upstream.
func explainLimits(limits []operator.ExplainLimit) string {
	var texts []string
	for _, limit := range limits {
		text := fmt.Sprintf("%s %d/%d in %s", limit.Kind, limit.Sent, limit.Quota, millisText(limit.WindowMS))
		if limit.AgeMS > 0 {
			text += " (" + millisText(limit.AgeMS) + ")"
		}
		texts = append(texts, text)
	}
	return orDash(strings.Join(texts, ", "))
}

// withAge returns a text with the age of what it tells; a dash if nothing is known.
func withAge(text string, ageMS *float64) string {
	if ageMS == nil {
		return "-"
	}
	return text + " (" + millisText(*ageMS) + ")"
}

// millisText returns a number of milliseconds for people.
func millisText(millis float64) string {
	const secondsFrom = 2000
	if millis >= secondsFrom {
		return fmt.Sprintf("%.1fs", millis/1000)
	}
	return fmt.Sprintf("%.0fms", millis)
}
