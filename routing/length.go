package routing

import "math"

const (
	// lengthBuckets of a factor lengthRatio cover 1 to about 1.6 M tokens.
	lengthBuckets = 65
	lengthRatio   = 1.25
	// lengthMemory is the weight at which old answers are halved, so that the
	// distribution follows a change of the workload.
	lengthMemory = 2000
	// unknownLength is assumed for a class without any finished answer.
	unknownLength = 256
)

// lengths is a running distribution of the output lengths of a class.
type lengths struct {
	counts [lengthBuckets]float64
	sums   [lengthBuckets]float64
	total  float64
}

func lengthBucket(tokens int) int {
	b := int(math.Log(float64(max(tokens, 1))) / math.Log(lengthRatio))
	return min(b, lengthBuckets-1)
}

func (l *lengths) add(tokens int) {
	b := lengthBucket(tokens)
	l.counts[b]++
	l.sums[b] += float64(tokens)
	l.total++
	if l.total < lengthMemory {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
		l.sums[i] /= 2
	}
	l.total /= 2
}

// expected returns the mean length of the answers longer than produced. Beyond
// the longest known answer it assumes half as much again.
func (l *lengths) expected(produced int) float64 {
	count, sum := 0.0, 0.0
	for b, n := range l.counts {
		if n > 0 && l.sums[b]/n > float64(produced) {
			count += n
			sum += l.sums[b]
		}
	}
	if count > 0 {
		return sum / count
	}
	return max(unknownLength, 1.5*float64(produced))
}
