package bvkey

import "fmt"

//go:generate stringer -type=Role -linecomment -output=role_string.go

// Role defines what the holder of a key may do. The zero value permits nothing.
type Role int

// The roles.
const (
	NoRole   Role = iota // none
	Caller               // caller
	Operator             // operator
	Admin                // admin
)

// ParseRole returns the role of the given name.
func ParseRole(name string) (Role, error) {
	for role := Caller; role <= Admin; role++ {
		if role.String() == name {
			return role, nil
		}
	}
	return NoRole, fmt.Errorf("unknown role %q (one of caller, operator, admin)", name)
}

// MarshalText implements encoding.TextMarshaler.
func (role Role) MarshalText() ([]byte, error) {
	return []byte(role.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (role *Role) UnmarshalText(text []byte) (err error) {
	*role, err = ParseRole(string(text))
	return err
}
