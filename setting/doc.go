// Package setting reads the settings file of each process. Settings are strict
// YAML: an unknown key, a wrong unit or an impossible combination is refused with
// the file, the line and the reason before anything starts.
package setting
