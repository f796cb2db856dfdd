package routing

import "math"

const (
	// lengthBuckets is the number of buckets. The lower bounds of consecutive
	// buckets differ by the factor lengthRatio and go from 1 to about 1.6 million
	// tokens.
	lengthBuckets = 65
	lengthRatio   = 1.25
	// maxLengthWeight is the total weight of answers at which all weights are halved,
	// so that the distribution follows a change of the workload.
	maxLengthWeight = 2000
	// defaultLength is the length in tokens assumed for a class without any
	// finished answer.
	defaultLength = 256
)

// lengths is a running distribution of the output lengths, in tokens, of a class.
type lengths struct {
	counts [lengthBuckets]float64 // weights of the answers
	sums   [lengthBuckets]float64 // weighted sums of the answers' lengths, by bucket
	total  float64                // sum of counts
}

func lengthBucket(tokens int) int {
	b := int(math.Log(float64(max(tokens, 1))) / math.Log(lengthRatio))
	return min(b, lengthBuckets-1)
}

// add records the length of a finished answer with weight 1, and halves all weights when
// their total reaches maxLengthWeight.
func (l *lengths) add(tokens int) {
	b := lengthBucket(tokens)
	l.counts[b]++
	l.sums[b] += float64(tokens)
	l.total++
	if l.total < maxLengthWeight {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
		l.sums[i] /= 2
	}
	l.total /= 2
}

// expected returns the mean length of the answers that are longer than produced
// tokens. If no such answer is known, it returns 1.5 times produced, but at least
// defaultLength.
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
	return max(defaultLength, 1.5*float64(produced))
}
