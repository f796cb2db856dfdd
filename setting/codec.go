package setting

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

type wireProcess struct {
	Role             string     `yaml:"role"`
	Name             string     `yaml:"name"`
	AvailabilityZone string     `yaml:"availability_zone"`
	Listen           string     `yaml:"listen"`
	Advertise        string     `yaml:"advertise"`
	LogLevel         string     `yaml:"log_level"`
	Tokens           wireTokens `yaml:"tokens"`
}

type wireTokens struct {
	OperatorFile string `yaml:"operator_file"`
	ServerFile   string `yaml:"server_file"`
	PeerFile     string `yaml:"peer_file"`
}

type wireEntry struct {
	Process          wireProcess `yaml:",inline"`
	ControlAddresses []string    `yaml:"control"`
	Peers            []string    `yaml:"peers"`
	Policy           string      `yaml:"policy"`
	SlotLeases       bool        `yaml:"slot_leases"`
	QueueCapacity    int         `yaml:"queue_capacity"`
	MaxBodyBytes     int         `yaml:"max_body_bytes"`
	MaxHeaderBytes   int         `yaml:"max_header_bytes"`
	StopWaitMS       int64       `yaml:"stop_wait_ms"`
	SilenceTimeoutMS int64       `yaml:"silence_timeout_ms"`
	CallTimeoutMS    int64       `yaml:"call_timeout_ms"`
	RetryPercentage  int         `yaml:"retry_percentage"`
}

type wireControl struct {
	Process             wireProcess  `yaml:",inline"`
	DataFolder          string       `yaml:"data_folder"`
	Members             []wireMember `yaml:"members"`
	Join                bool         `yaml:"join"`
	ModelLoadsPerMinute int          `yaml:"orders_per_minute"`
}

type wireMember struct {
	Name             string `yaml:"name"`
	Address          string `yaml:"address"`
	AvailabilityZone string `yaml:"availability_zone"`
}

// document is a settings file. Error messages get the line of a key from the
// syntax tree.
type document struct {
	path string
	data []byte
	tree *ast.File
}

func readDocument(path string) (document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return document{}, errors.Wrap(err, "cannot read settings")
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return document{}, errors.Errorf("%s: %s", path, yaml.FormatError(err, false, false))
	}
	return document{path: path, data: data, tree: tree}, nil
}

// decode decodes the file into target. A key without a field in target is an error.
func (d document) decode(target any) error {
	err := yaml.UnmarshalWithOptions(d.data, target, yaml.Strict())
	if err != nil {
		return errors.Errorf("%s: %s", d.path, yaml.FormatError(err, false, false))
	}
	return nil
}

// role returns the value of the key "role". It does not check the other keys.
func (d document) role() (Role, error) {
	var content struct {
		Role string `yaml:"role"`
	}
	if err := yaml.Unmarshal(d.data, &content); err != nil {
		return "", errors.Errorf("%s: %s", d.path, yaml.FormatError(err, false, false))
	}
	r := Role(content.Role)
	if !lo.Contains([]Role{RoleEntry, RoleControl, RoleRelay, RoleMember}, r) {
		return "", d.errorAt("$.role", "role %q is unknown: want %q, %q, %q or %q", content.Role,
			RoleEntry, RoleControl, RoleRelay, RoleMember)
	}
	return r, nil
}

// errorAt returns an error that names the file and, if the file has the key at path,
// its line.
func (d document) errorAt(path, format string, arguments ...any) error {
	reason := errors.Errorf(format, arguments...)
	line := d.line(path)
	if line == 0 {
		return errors.Errorf("%s: %s", d.path, reason)
	}
	return errors.Errorf("%s:%d: %s", d.path, line, reason)
}

// line returns the line of the key at path, or 0 if the file does not have the key.
func (d document) line(path string) int {
	p, err := yaml.PathString(path)
	if err != nil {
		return 0
	}
	node, err := p.FilterFile(d.tree)
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

func (w wireProcess) toSettings() Process {
	return Process{
		Name:             w.Name,
		AvailabilityZone: w.AvailabilityZone,
		Listen:           w.Listen,
		Advertise:        lo.CoalesceOrEmpty(w.Advertise, w.Listen),
		LogLevel:         lo.CoalesceOrEmpty(w.LogLevel, "info"),
		Tokens: Tokens{
			OperatorFile: w.Tokens.OperatorFile,
			ServerFile:   w.Tokens.ServerFile,
			PeerFile:     w.Tokens.PeerFile,
		},
	}
}

func (w wireEntry) toSettings() Entry {
	return Entry{
		Process:          w.Process.toSettings(),
		ControlAddresses: w.ControlAddresses,
		Peers:            w.Peers,
		Policy:           Policy(w.Policy),
		SlotLeases:       w.SlotLeases,
		QueueCapacity:    w.QueueCapacity,
		MaxBodyBytes:     w.MaxBodyBytes,
		MaxHeaderBytes:   w.MaxHeaderBytes,
		StopWait:         clock.Millis(w.StopWaitMS),
		SilenceTimeout:   clock.Millis(w.SilenceTimeoutMS),
		CallTimeout:      clock.Millis(w.CallTimeoutMS),
		RetryPercentage:  w.RetryPercentage,
	}
}

func (w wireControl) toSettings() Control {
	return Control{
		Process:             w.Process.toSettings(),
		DataFolder:          w.DataFolder,
		Join:                w.Join,
		ModelLoadsPerMinute: w.ModelLoadsPerMinute,
		Members: lo.Map(w.Members, func(m wireMember, _ int) Member {
			return Member(m)
		}),
	}
}

// defaultEntry returns the values of keys that a settings file leaves out.
func defaultEntry() wireEntry {
	return wireEntry{
		Policy:           string(PolicyStandard),
		SlotLeases:       true,
		QueueCapacity:    2000,
		MaxBodyBytes:     4 << 20,
		MaxHeaderBytes:   16 << 10,
		StopWaitMS:       5000,
		SilenceTimeoutMS: 5000,
		CallTimeoutMS:    30000,
		RetryPercentage:  10,
	}
}

// defaultControl returns the values of keys that a settings file leaves out.
func defaultControl() wireControl {
	return wireControl{ModelLoadsPerMinute: 6}
}
