// Package setting reads and checks the settings file of a process. Settings are
// strict YAML: before anything starts, an unknown key, a wrong unit or an impossible
// combination is refused with the file, the line and the reason.
package setting
