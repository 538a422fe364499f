package bvload

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

//go:generate stringer -type=stepKind -linecomment -output=stepkind_string.go

// stepKind is the kind of a program's step.
type stepKind int

const (
	chatStep stepKind = iota // chat
	toolStep                 // tool
	subStep                  // sub-agents
)

// step is one step of a program.
type step struct {
	kind      stepKind
	pauseMS   int // pause before the step
	text      string
	tokens    int
	stream    bool
	tool      Tool
	fetch     bool // fetch the answer again
	subAgents []plan
}

// plan is the plan of a program.
type plan struct {
	member      int // index in Config.Members
	class       *Class
	fullHistory bool // sends its full history with each call
	steps       []step
}

const (
	percent       = 100
	streamPercent = 60
	fetchPercent  = 10
	fullPercent   = 10
	maxSubAgents  = 2
	subTurns      = 2
	arrivalStream = 1 << 62 // separate from the random streams of the programs
)

// planner draws programs. The same seed gives the same programs, in whatever order they
// are drawn.
type planner struct {
	seed    uint64
	members []Member
}

func (planner planner) arrivals() *rand.Rand {
	return rand.New(rand.NewPCG(planner.seed, arrivalStream))
}

func (planner planner) program(index int) plan {
	random := rand.New(rand.NewPCG(planner.seed, uint64(index)))
	member := drawWeighted(random, len(planner.members), func(i int) int { return planner.members[i].Weight })
	classes := planner.members[member].Classes
	class := drawWeighted(random, len(classes), func(i int) int { return classes[i].Weight })
	plan := plan{member: member, class: &classes[class], fullHistory: chance(random, fullPercent)}
	plan.draw(random, plan.class.Turns.draw(random), true)
	return plan
}

// draw adds the given number of model calls, with the tool calls and sub-agents between
// them.
func (plan *plan) draw(random *rand.Rand, turns int, withSubs bool) {
	for turn := range turns {
		plan.steps = append(plan.steps, plan.drawChat(random, turn))
		if turn == turns-1 {
			return
		}
		if len(plan.class.Tools) > 0 && chance(random, plan.class.ToolPercent) {
			plan.steps = append(plan.steps, plan.drawTool(random))
		}
		if withSubs && chance(random, plan.class.SubAgentPercent) {
			plan.steps = append(plan.steps, plan.drawSubs(random))
		}
	}
}

func (plan *plan) drawChat(random *rand.Rand, turn int) step {
	chat := step{
		kind:   chatStep,
		text:   drawText(random, plan.class.Topic, plan.class.PromptBytes.draw(random)),
		tokens: max(1, plan.class.OutputTokens.draw(random)),
		stream: chance(random, streamPercent),
		fetch:  chance(random, fetchPercent),
	}
	if turn > 0 {
		chat.pauseMS = plan.class.PauseMS.draw(random)
	}
	return chat
}

func (plan *plan) drawTool(random *rand.Rand) step {
	return step{
		kind: toolStep,
		text: drawText(random, plan.class.Topic, plan.class.PromptBytes.Min),
		tool: plan.class.Tools[random.IntN(len(plan.class.Tools))],
	}
}

func (plan *plan) drawSubs(random *rand.Rand) step {
	subs := step{kind: subStep}
	for range 1 + random.IntN(maxSubAgents) {
		sub := *plan
		sub.steps = nil
		sub.draw(random, 1+random.IntN(subTurns), false)
		subs.subAgents = append(subs.subAgents, sub)
	}
	return subs
}

func (drawn Range) draw(random *rand.Rand) int {
	if drawn.Max <= drawn.Min {
		return drawn.Min
	}
	return drawn.Min + random.IntN(drawn.Max-drawn.Min+1)
}

func chance(random *rand.Rand, percentage int) bool {
	return random.IntN(percent) < percentage
}

func drawWeighted(random *rand.Rand, count int, weight func(int) int) int {
	total := 0
	for i := range count {
		total += max(1, weight(i))
	}
	drawn := random.IntN(total)
	for i := range count {
		drawn -= max(1, weight(i))
		if drawn < 0 {
			return i
		}
	}
	return count - 1
}

func drawText(random *rand.Rand, topic string, length int) string {
	var text strings.Builder
	text.WriteString(topic)
	for text.Len() < length {
		_, _ = fmt.Fprintf(&text, " %d", random.IntN(10_000))
	}
	return text.String()
}
