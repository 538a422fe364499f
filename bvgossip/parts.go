package bvgossip

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvclock"
)

const (
	// maxDigestParts bounds the parts of a digest. What does not fit into them is left out: some
	// 20,000 entries do.
	maxDigestParts = 8
	// partInterval is the time between two parts, so that they fit into the receivers' buffers.
	partInterval = 2 * bvclock.Millisecond
	// entryOverhead is an upper bound of the bytes that an entry of a list takes beside its content.
	entryOverhead = 4
	// usageBytes is an upper bound of the bytes that the usage of one workspace takes.
	usageBytes = 4 + 5 + 5
	// listOverhead is an upper bound of the bytes of the tags and lengths of all packed lists, and of
	// the datagram around the digest.
	listOverhead = 64
)

// splitDigest returns a digest as digests that are no larger than limit, and the number of entries
// that were left out since there would be too many parts. The state comes first, the calls at the
// busiest endpoints before the others; then what is reported since the last digest.
func splitDigest(digest *Digest, sequence uint32, limit int) (parts []*Digest, omitted int) {
	splitter := newDigestSplitter(digest, limit)
	for _, load := range busiestFirst(digest.GetLoads()) {
		if part := splitter.partFor(proto.Size(load) + entryOverhead); part != nil {
			part.Loads = append(part.Loads, load)
		}
	}
	for _, load := range busiestFirst(digest.GetTotals()) {
		if part := splitter.partFor(proto.Size(load) + entryOverhead); part != nil {
			part.Totals = append(part.Totals, load)
		}
	}
	for i, workspace := range digest.GetUsedWorkspaces() {
		if part := splitter.partFor(usageBytes); part != nil {
			part.UsedWorkspaces = append(part.UsedWorkspaces, workspace)
			part.UsedCounts = append(part.UsedCounts, digest.GetUsedCounts()[i])
			part.UsedRecent = append(part.UsedRecent, digest.GetUsedRecent()[i])
		}
	}
	for _, outcome := range digest.GetOutcomes() {
		if part := splitter.partFor(proto.Size(outcome) + entryOverhead); part != nil {
			part.Outcomes = append(part.Outcomes, outcome)
		}
	}
	for _, program := range digest.GetPrograms() {
		if part := splitter.partFor(8); part != nil {
			part.Programs = append(part.Programs, program)
		}
	}
	for _, placement := range digest.GetPlacements() {
		if part := splitter.partFor(proto.Size(placement) + entryOverhead); part != nil {
			part.Placements = append(part.Placements, placement)
		}
	}
	for i, part := range splitter.parts {
		part.Sequence, part.Part, part.Parts = sequence, uint32(i), uint32(len(splitter.parts))
	}
	return splitter.parts, splitter.omitted
}

// busiestFirst returns loads in descending order of calls.
func busiestFirst(loads []*Load) []*Load {
	return slices.SortedFunc(slices.Values(loads), func(a, b *Load) int { return cmp.Compare(b.GetRunning(), a.GetRunning()) })
}

// digestSplitter distributes the entries of a digest over its parts.
type digestSplitter struct {
	header  *Digest // of each part
	parts   []*Digest
	limit   int // bytes of a part
	size    int // upper bound of the bytes of the last part
	omitted int // entries without a part
}

// newDigestSplitter returns a splitter whose first part has the short lists.
func newDigestSplitter(digest *Digest, limit int) *digestSplitter {
	header := &Digest{
		Host: digest.GetHost(), Incarnation: digest.GetIncarnation(), Zone: digest.GetZone(), Address: digest.GetAddress(),
		StateVersion: digest.GetStateVersion(), StoreReachable: digest.GetStoreReachable(), Leaving: digest.GetLeaving(),
		Settled: digest.GetSettled(),
	}
	first := proto.CloneOf(header)
	first.Crashes, first.Shares = digest.GetCrashes(), digest.GetShares()
	return &digestSplitter{
		header: header, parts: []*Digest{first}, limit: limit, size: proto.Size(first) + listOverhead,
	}
}

// partFor returns the part for an entry of a size, or nil if it is left out.
func (splitter *digestSplitter) partFor(bytes int) *Digest {
	if splitter.size+bytes > splitter.limit {
		if len(splitter.parts) == maxDigestParts {
			splitter.omitted++
			return nil
		}
		splitter.parts = append(splitter.parts, proto.CloneOf(splitter.header))
		splitter.size = proto.Size(splitter.header) + listOverhead
	}
	splitter.size += bytes
	return splitter.parts[len(splitter.parts)-1]
}

// assembly collects the parts of a digest. The zero value has none.
type assembly struct {
	incarnation string
	sequence    uint32
	parts       []*Digest // those that arrived, by number
	missing     int
	completedAt bvclock.Time // when the last digest was whole
}

// isValidPart reports whether a digest is whole, or a part that can be assembled.
func isValidPart(digest *Digest) bool {
	return digest.GetParts() == 0 || digest.GetParts() <= maxDigestParts && digest.GetPart() < digest.GetParts()
}

// add adds a part, and returns all parts if none is missing. A part of an earlier digest than the last
// one is late and ignored.
func (assembly *assembly) add(part *Digest) (whole []*Digest) {
	isRestarted := assembly.incarnation != part.GetIncarnation()
	if !isRestarted && int32(part.GetSequence()-assembly.sequence) < 0 {
		return nil
	}
	if isRestarted || part.GetSequence() != assembly.sequence || len(assembly.parts) != int(part.GetParts()) {
		assembly.incarnation, assembly.sequence = part.GetIncarnation(), part.GetSequence()
		assembly.parts, assembly.missing = make([]*Digest, part.GetParts()), int(part.GetParts())
	}
	if assembly.parts[part.GetPart()] == nil {
		assembly.missing--
	}
	assembly.parts[part.GetPart()] = part
	if assembly.missing > 0 {
		return nil
	}
	return assembly.parts
}

// joinLoads returns the calls that parts of a digest contain together, for those that are known.
func joinLoads(parts []*Digest) (loads, totals []*Load) {
	for _, part := range parts {
		loads = append(loads, part.GetLoads()...)
		totals = append(totals, part.GetTotals()...)
	}
	return loads, totals
}
