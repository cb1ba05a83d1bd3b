package request

import "time"

const (
	// PromptDiscount is how many prompt tokens cost as much as one generated
	// token.
	PromptDiscount = 10
	// BytesPerToken converts a prompt's length to tokens.
	BytesPerToken = 4
	// PlainCallStep is the time of a plain call that costs as much as one
	// generated token.
	PlainCallStep = 50 * time.Millisecond
	// DefaultOutput is the expected number of generated tokens if nothing
	// tells.
	DefaultOutput = 128
	// ShortLaneLimit is the estimate up to which a request is short.
	ShortLaneLimit Cost = 256
)

// Usage is what an engine reports of an answer, in tokens.
type Usage struct {
	Prompt    int
	Generated int
}

// Cost returns the service that the answer was.
func (u Usage) Cost() Cost { return Cost(u.Generated) + PromptCost(u.Prompt) }

// PromptCost returns the cost of reading a prompt.
func PromptCost(tokens int) Cost { return Cost(tokens) / PromptDiscount }

// PromptTokens estimates a prompt's tokens from its length in bytes.
func PromptTokens(bytes int) int { return bytes / BytesPerToken }

// PlainCallCost returns the cost of a plain call that took elapsed. It is at
// least one unit.
func PlainCallCost(elapsed time.Duration) Cost {
	return max(Cost(elapsed)/Cost(PlainCallStep), 1)
}

// LaneOf returns the lane of a request with this estimate.
func LaneOf(estimate Cost) Lane {
	if estimate <= ShortLaneLimit {
		return LaneShort
	}
	return LaneLong
}
