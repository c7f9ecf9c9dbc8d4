package report

import (
	"carawayspread"
	"carawayspread/internal/connection/control"
)

// EncodeRole returns the role in the form that reports carry.
func EncodeRole(role carawayspread.Role) control.Role {
	switch role {
	case carawayspread.RoleBoth:
		return control.Role_ROLE_BOTH
	case carawayspread.RolePrefill:
		return control.Role_ROLE_PREFILL
	case carawayspread.RoleDecode:
		return control.Role_ROLE_DECODE
	}
	return control.Role_ROLE_UNKNOWN
}

// DecodeRole returns the role that a report carries; empty if unknown.
func DecodeRole(role control.Role) carawayspread.Role {
	switch role {
	case control.Role_ROLE_BOTH:
		return carawayspread.RoleBoth
	case control.Role_ROLE_PREFILL:
		return carawayspread.RolePrefill
	case control.Role_ROLE_DECODE:
		return carawayspread.RoleDecode
	}
	return ""
}
