package bvexplain

import (
	"math/rand/v2"
	"slices"
)

// table holds rows by name.
type table map[string]*row

// mostRows bounds a table: a day has 86,400 seconds.
const mostRows = 100_000

// others is the row for all names beyond the bound.
const others = "others"

func (table table) row(name string) *row {
	found := table[name]
	if found == nil && len(table) >= mostRows {
		name, found = others, table[others]
	}
	if found == nil {
		found = &row{}
		table[name] = found
	}
	return found
}

// row counts requests.
type row struct {
	answered, refused, failed int
	took                      sample
	here, endpoint, events    mean
	kept                      mean
	prompt, read              int
}

func (row *row) add(line *line) {
	switch {
	case line.Error == "":
		row.answered++
	case line.refused():
		row.refused++
		return
	default:
		row.failed++
	}
	row.took.add(line.Took)
	if line.Sends == 0 {
		return
	}
	row.here.add(line.Sent)
	row.prompt += line.Prompt
	row.read += max(line.Prompt-line.Cached, 0)
	if line.Events == 0 {
		row.endpoint.add(line.Took - line.Sent)
		return
	}
	row.endpoint.add(line.First - line.Sent)
	row.events.add(line.Took - line.First - line.Kept)
	row.kept.add(line.Kept)
}

// mean is a sum and a count.
type mean struct {
	sum   int64
	count int64
}

func (mean *mean) add(value int64) {
	mean.sum += value
	mean.count++
}

func (mean *mean) value() float64 {
	if mean.count == 0 {
		return 0
	}
	return float64(mean.sum) / float64(mean.count)
}

// sampleSize is how many values a sample keeps: the 95th percentile of so many is
// off by some two percent of rank. A day's seconds take 100 MB with it; a histogram
// for each would take twenty times as much.
const sampleSize = 150

// sample keeps some of many values, each with the same chance.
type sample struct {
	values []int64
	count  int
	random *rand.Rand
}

func (sample *sample) add(value int64) {
	sample.count++
	if len(sample.values) < sampleSize {
		sample.values = append(sample.values, value)
		return
	}
	if sample.random == nil {
		sample.random = rand.New(rand.NewPCG(1, 1)) // the same log gives the same figures
	}
	if at := sample.random.IntN(sample.count); at < sampleSize {
		sample.values[at] = value
	}
}

// quantile returns the value below which a share of them lie.
func (sample *sample) quantile(share float64) int64 {
	if len(sample.values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(sample.values))
	return sorted[int(share*float64(len(sorted)-1))]
}
