package request

import "time"

const (
	// PromptDiscount is how many prompt tokens cost as much as one generated token.
	PromptDiscount = 10
	// BytesPerToken is the assumed number of prompt bytes per token.
	BytesPerToken = 4
	// PlainCallStep is the duration of a plain call that costs as much as one generated
	// token.
	PlainCallStep = 50 * time.Millisecond
	// DefaultOutput is the expected number of generated tokens if there is no better
	// estimate.
	DefaultOutput = 128
	// ShortLaneLimit is the largest estimate of a request in the short lane.
	ShortLaneLimit Cost = 256
)

// Usage is the usage that an engine reports with an answer, in tokens.
type Usage struct {
	Prompt    int
	Generated int
}

// Cost returns the cost of the answer.
func (u Usage) Cost() Cost { return Cost(u.Generated) + PromptCost(u.Prompt) }

// PromptCost returns the cost of processing a prompt of the given number of tokens.
func PromptCost(tokens int) Cost { return Cost(tokens) / PromptDiscount }

// PromptTokens estimates the number of tokens of a prompt from its length in bytes.
func PromptTokens(bytes int) int { return bytes / BytesPerToken }

// PlainCallCost returns the cost of a plain call that took elapsed. It is at least one
// unit.
func PlainCallCost(elapsed time.Duration) Cost {
	return max(Cost(elapsed)/Cost(PlainCallStep), 1)
}

// LaneOf returns the lane of a request with the given estimate.
func LaneOf(estimate Cost) Lane {
	if estimate <= ShortLaneLimit {
		return LaneShort
	}
	return LaneLong
}
