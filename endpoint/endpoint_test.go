package endpoint_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/endpoint"
)

// Guards against an address that cannot be connected to, or that leads to this machine, and
// against the refusal of a usable one.
func TestValidate(t *testing.T) {
	tests := []struct {
		address string
		valid   bool
	}{
		{"10.0.0.9:1", true},
		{"127.0.0.1:65535", true},
		{"[2001:db8::1]:8080", true},
		{"", false},
		{"10.0.0.9", false},
		{"10.0.0.9:", false},
		{"10.0.0.9:0", false},
		{"10.0.0.9:65536", false},
		{"10.0.0.9:18446744073709551617", false},
		{"10.0.0.9:http", false},
		{"10.0.0.256:80", false},
		{"localhost:80", false},
		{"0.0.0.0:80", false},
		{"[::]:80", false},
		{"[::ffff:0.0.0.0]:80", false},
		{"239.1.2.3:80", false},
		{"[fe80::1%eth0]:80", false},
		{"10.0.0.9:80\r\n", false},
	}
	for _, tt := range tests {
		if err := endpoint.Validate(tt.address); (err == nil) != tt.valid {
			t.Errorf("%q: got %v, want valid %t", tt.address, err, tt.valid)
		}
	}
}

// Guards against a panic on arbitrary text, and against a long address that takes a share of
// each list of servers.
func FuzzValidate(f *testing.F) {
	f.Add("10.0.0.9:8080")
	f.Add("[::1%x]:0")
	f.Fuzz(func(t *testing.T, address string) {
		if err := endpoint.Validate(address); err == nil && len(address) > len("[ffff:ffff:ffff:ffff:ffff:ffff:255.255.255.255]:65535") {
			t.Errorf("%q: got no error, want a refusal of a long address", address)
		}
	})
}
