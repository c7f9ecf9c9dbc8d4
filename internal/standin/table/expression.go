package table

import (
	"math/big"
	"strings"
)

// evaluate reports whether the item satisfies the expression. It supports the expressions that the
// system uses: terms joined by AND, each "attribute_not_exists(name)", "name = :value" or
// "name > :value".
func (r *request) evaluate(expression string, item attributes) (bool, *failure) {
	if expression == "" {
		return true, nil
	}
	for _, term := range strings.Split(expression, " AND ") {
		ok, err := r.evaluateTerm(strings.TrimSpace(term), item)
		if err != nil || !ok {
			return false, err
		}
	}
	return true, nil
}

func (r *request) evaluateTerm(term string, item attributes) (bool, *failure) {
	if inner, ok := strings.CutPrefix(term, "attribute_not_exists"); ok {
		name := strings.Trim(strings.TrimSpace(inner), "() ")
		_, exists := item[r.resolveName(name)]
		return !exists, nil
	}
	parts := strings.Fields(term)
	if len(parts) != 3 {
		return false, invalid("unsupported expression: " + term)
	}
	want, ok := r.ExpressionAttributeValues[parts[2]]
	if !ok {
		return false, invalid("undefined value: " + parts[2])
	}
	have, exists := item[r.resolveName(parts[0])]
	if !exists {
		return false, nil
	}
	switch parts[1] {
	case "=":
		return compare(have, want) == 0, nil
	case ">":
		return compare(have, want) > 0, nil
	}
	return false, invalid("unsupported operator: " + parts[1])
}

func (r *request) resolveName(placeholder string) string {
	if name, ok := r.ExpressionAttributeNames[placeholder]; ok {
		return name
	}
	return placeholder
}

// compare compares two strings or two numbers; any other pair of values is unequal (-1).
func compare(a, b value) int {
	switch {
	case a.S != nil && b.S != nil:
		return strings.Compare(*a.S, *b.S)
	case a.N != nil && b.N != nil:
		return compareNumbers(*a.N, *b.N)
	}
	return -1
}

func compareNumbers(a, b string) int {
	x, okX := new(big.Float).SetString(a)
	y, okY := new(big.Float).SetString(b)
	if !okX || !okY {
		return -1
	}
	return x.Cmp(y)
}
