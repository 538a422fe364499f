package bvexplain

import (
	"math/rand/v2"
	"slices"
)

// table holds rows by name.
type table map[string]*row

// maxRows bounds a table; a day has 86,400 rows of one second.
const maxRows = 100_000

// otherRows is the name of the row for all names above the bound.
const otherRows = "others"

func (table table) row(name string) *row {
	found := table[name]
	if found == nil && len(table) >= maxRows {
		name, found = otherRows, table[otherRows]
	}
	if found == nil {
		found = &row{}
		table[name] = found
	}
	return found
}

// row counts requests and sums up their times and tokens.
type row struct {
	answered, refused, failed       int
	duration                        sample
	localWait, endpointWait, events mean
	persistTime                     mean
	promptTokens, uncachedTokens    int
}

func (row *row) add(line *line) {
	switch {
	case line.Error == "":
		row.answered++
	case line.isRefused():
		row.refused++
		return
	default:
		row.failed++
	}
	row.duration.add(line.Took)
	if line.Sends == 0 {
		return
	}
	row.localWait.add(line.Sent)
	row.promptTokens += line.Prompt
	row.uncachedTokens += max(line.Prompt-line.Cached, 0)
	if line.Events == 0 {
		row.endpointWait.add(line.Took - line.Sent)
		return
	}
	row.endpointWait.add(line.First - line.Sent)
	row.events.add(line.Took - line.First - line.Kept)
	row.persistTime.add(line.Kept)
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

// sampleSize is the number of values in a sample: the 95th percentile of that many is
// off by about two percent of rank. The rows for the seconds of a day take 100 MB;
// a histogram for each would take twenty times as much.
const sampleSize = 150

// sample is a uniform random sample (reservoir sampling) of the added values.
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
		sample.random = rand.New(rand.NewPCG(1, 1)) // fixed seed, so that the same log gives the same figures
	}
	if at := sample.random.IntN(sample.count); at < sampleSize {
		sample.values[at] = value
	}
}

// quantile returns the value below which the given share of the sample lies.
func (sample *sample) quantile(share float64) int64 {
	if len(sample.values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(sample.values))
	return sorted[int(share*float64(len(sorted)-1))]
}
