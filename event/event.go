// Package event defines the log events and the logger that writes them. Each event
// has a name and a number that never changes; docs/events.md lists them all.
package event

import (
	"io"
	"os"
	"sort"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Level is the severity of an event.
type Level int8

// Severity levels, from the lowest to the highest.
const (
	Debug = Level(zapcore.DebugLevel)
	Info  = Level(zapcore.InfoLevel)
	Warn  = Level(zapcore.WarnLevel)
	Error = Level(zapcore.ErrorLevel)
)

// String returns the level as it is written in a log line.
func (l Level) String() string {
	return zapcore.Level(l).String()
}

// ParseLevel returns the level with the given name, or an error if there is none.
func ParseLevel(name string) (Level, error) {
	l, err := zapcore.ParseLevel(name)
	return Level(l), errors.Wrapf(err, "unknown log level %q", name)
}

// Event is a kind of log line.
type Event struct {
	number  int
	name    string
	level   Level
	meaning string
}

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Name returns the event's name in snake case.
func (e Event) Name() string { return e.name }

// Level returns the event's severity.
func (e Event) Level() Level { return e.level }

// Meaning returns the sentence that explains the event in docs/events.md.
func (e Event) Meaning() string { return e.meaning }

// definedEvents holds every event by its number.
var definedEvents = map[int]Event{}

// define adds an event to the catalogue. It runs while the package is initialized
// and panics if the number is already used, which is a programming error.
func define(number int, name string, level Level, meaning string) Event {
	if _, ok := definedEvents[number]; ok {
		panic(errors.Errorf("event number %d is defined twice", number))
	}
	e := Event{number: number, name: name, level: level, meaning: meaning}
	definedEvents[number] = e
	return e
}

// All returns every event in order of its number.
func All() []Event {
	events := make([]Event, 0, len(definedEvents))
	for _, e := range definedEvents {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].number < events[j].number })
	return events
}

// Logger writes events as JSON lines. It is safe for concurrent use.
type Logger struct {
	zap    *zap.Logger
	writer *writer
}

// New returns a logger that writes to standard output, and a function that flushes
// it. Each line contains the name of the process. Logging never waits for the
// output: when the buffer of the logger is full, lines are dropped and counted.
func New(process string, minimum Level) (Logger, func()) {
	return NewWithOutput(os.Stdout, process, minimum)
}

// NewWithOutput is like New but writes to out.
func NewWithOutput(out io.Writer, process string, minimum Level) (Logger, func()) {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	w := newWriter(out)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zapcore.Level(minimum))
	l := zap.New(core).With(zap.String("process", process))
	return Logger{zap: l, writer: w}, func() { _ = l.Sync() }
}

// DroppedLines returns the number of lines that were dropped since the logger was
// created.
func (l Logger) DroppedLines() uint64 {
	if l.writer == nil {
		return 0
	}
	return l.writer.dropped.Load()
}

// Discard returns a logger that writes nothing.
func Discard() Logger {
	return Logger{zap: zap.NewNop()}
}

// Log writes one event with its fields, unless its level is below the minimum.
func (l Logger) Log(e Event, fields ...zap.Field) {
	entry := l.zap.Check(zapcore.Level(e.level), e.name)
	if entry == nil {
		return
	}
	entry.Write(append([]zap.Field{zap.Int("event", e.number)}, fields...)...)
}
