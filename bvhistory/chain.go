package bvhistory

import "slices"

// Chain is a conversation up to its last turn, oldest turn first. The zero value is an
// empty conversation.
type Chain []*Turn

// Prompt returns the prompt for the engine: all previous inputs and outputs, followed
// by the new input.
func (chain Chain) Prompt(input []byte) []byte {
	size := len(input)
	for _, turn := range chain {
		size += len(turn.Input) + len(turn.Output)
	}
	prompt := make([]byte, 0, size)
	for _, turn := range chain {
		prompt = append(prompt, turn.Input...)
		prompt = append(prompt, turn.Output...)
	}
	return append(prompt, input...)
}

// Placement returns where the last turn ran.
func (chain Chain) Placement() Placement {
	if len(chain) == 0 {
		return Placement{}
	}
	return chain[len(chain)-1].Placement
}

// isCompleteUpTo reports whether the chain has all its turns and ends with the named
// one.
func (chain Chain) isCompleteUpTo(last string) bool {
	if len(chain) == 0 || chain[len(chain)-1].ID != last {
		return false
	}
	ids := make([]string, 0, len(chain))
	for _, turn := range chain[:len(chain)-1] {
		ids = append(ids, turn.ID)
	}
	return slices.Equal(ids, chain[len(chain)-1].Ancestors)
}

// Encode serializes the chain to be sent to another host.
func (chain Chain) Encode() []byte {
	var encoded []byte
	for _, turn := range chain {
		encoded = appendBytes(encoded, []byte(turn.ID))
		encoded = appendBytes(encoded, turn.encode())
	}
	return encoded
}

// DecodeChain parses the output of Encode.
func DecodeChain(encoded []byte) (Chain, error) {
	var chain Chain
	reader := reader{rest: encoded}
	for len(reader.rest) > 0 {
		id, turn := string(reader.bytes()), reader.bytes()
		if reader.err != nil {
			return nil, reader.err
		}
		decoded, err := decodeTurn(id, turn)
		if err != nil {
			return nil, err
		}
		chain = append(chain, decoded)
	}
	return chain, nil
}
