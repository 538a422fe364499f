package bvload

import "balsamvalve.example/bvclock"

// Member is one member of the consortium, with the programs that it runs.
type Member struct {
	Name    string
	Key     string // of its callers
	Weight  int    // of its programs among all; 0: 1
	Classes []Class
}

// Class is a kind of programs of a member.
type Class struct {
	Name         string // row of the operators' table; empty: the member's own
	Weight       int    // among the member's classes; 0: 1
	Model        string
	Topic        string // what its messages are about
	Turns        Range  // model calls
	PromptBytes  Range  // new text of a call
	OutputTokens Range
	PauseMS      Range // before a call that follows a tool
	ToolPercent  int   // chance of a tool call between two model calls
	SubPercent   int   // chance of sub-agents between two model calls
	Tools        []Tool
}

// Tool is a call of a plain service.
type Tool struct {
	Service      string
	Path         string
	Unrepeatable bool
}

// Range is drawn from evenly, both ends included.
type Range struct{ Min, Max int }

// Names of the members, classes, models and services of Members.
const (
	Piran          = "piran"
	Brindley       = "brindley"
	ClassBooking   = "booking"
	ClassQuoting   = "quoting"
	ClassAssistant = "assistant"
	ModelBooking   = "booking-model"
	ModelAgent     = "agent-model"
	ServiceBooking = "booking"
	ServiceStock   = "stock"
)

// Members returns both members' usual programs: short chains that book surf
// lessons, short chains that quote bolts and anchors, and long conversations
// of an account assistant. Only members that have a key are returned.
func Members(keys map[string]string) []Member {
	var members []Member
	for _, member := range []Member{piran(), brindley()} {
		member.Key = keys[member.Name]
		if member.Key != "" {
			members = append(members, member)
		}
	}
	return members
}

func piran() Member {
	return Member{Name: Piran, Weight: 1, Classes: []Class{{
		Name:         ClassBooking,
		Model:        ModelBooking,
		Topic:        "surf lesson at Fiesa beach",
		Turns:        Range{3, 6},
		PromptBytes:  Range{80, 400},
		OutputTokens: Range{10, 50},
		PauseMS:      Range{20, 120},
		ToolPercent:  60,
		SubPercent:   15,
		Tools: []Tool{
			{Service: ServiceBooking, Path: "lessons", Unrepeatable: true},
			{Service: ServiceBooking, Path: "weather"},
			{Service: ServiceBooking, Path: "roster"},
		},
	}}}
}

func brindley() Member {
	tools := []Tool{
		{Service: ServiceStock, Path: "stock"},
		{Service: ServiceStock, Path: "price", Unrepeatable: true},
		{Service: ServiceStock, Path: "delivery"},
	}
	quoting := Class{
		Name:         ClassQuoting,
		Weight:       2,
		Model:        ModelAgent,
		Topic:        "bolt and anchor quote",
		Turns:        Range{2, 5},
		PromptBytes:  Range{80, 300},
		OutputTokens: Range{10, 40},
		PauseMS:      Range{10, 60},
		ToolPercent:  70,
		SubPercent:   15,
		Tools:        tools,
	}
	assistant := Class{
		Name:         ClassAssistant,
		Weight:       1,
		Model:        ModelAgent,
		Topic:        "buyer's account this week",
		Turns:        Range{6, 12},
		PromptBytes:  Range{300, 1500},
		OutputTokens: Range{20, 60},
		PauseMS:      Range{50, 300},
		ToolPercent:  30,
		SubPercent:   5,
		Tools:        tools,
	}
	return Member{Name: Brindley, Weight: 1, Classes: []Class{quoting, assistant}}
}

func pauseOf(milliseconds int, factor float64) bvclock.Duration {
	return bvclock.Duration(max(0, float64(milliseconds)*factor))
}
