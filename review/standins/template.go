package standins

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// render fills a template of deploy/ with the fields of a settings file, as DEPLOY.md describes it.
func render(text string, scope []any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		gap, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("gap %q does not end", rest)
		}
		text = after
		if !strings.HasPrefix(gap, "#") && !strings.HasPrefix(gap, "^") {
			out.WriteString(fill(gap, scope))
			continue
		}
		inner, after, found := strings.Cut(text, "{{/"+gap[1:]+"}}")
		if !found {
			return "", fmt.Errorf("section %q does not end", gap)
		}
		text = after
		section, err := renderSection(gap, inner, scope)
		if err != nil {
			return "", err
		}
		out.WriteString(section)
	}
}

// entry is what a section's names are looked up in first.
type entry struct {
	key   string
	value any
	last  bool
}

func renderSection(gap, inner string, scope []any) (string, error) {
	value, given := lookup(gap[1:], scope)
	present := given && value != false && value != nil
	if gap[0] == '^' {
		if present {
			return "", nil
		}
		return render(inner, scope)
	}
	if !present {
		return "", nil
	}
	var entries []entry
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			entries = append(entries, entry{key: key, value: v[key]})
		}
	case []any:
		for i, item := range v {
			entries = append(entries, entry{key: strconv.Itoa(i), value: item})
		}
	default:
		return render(inner, scope)
	}
	var out strings.Builder
	for i, e := range entries {
		e.last = i == len(entries)-1
		text, err := render(inner, append([]any{e}, scope...))
		if err != nil {
			return "", err
		}
		out.WriteString(text)
	}
	return out.String(), nil
}

func fill(gap string, scope []any) string {
	if e, ok := scope[0].(entry); ok {
		switch {
		case gap == "." && fmt.Sprint(e.value) != "":
			return fmt.Sprint(e.value)
		case gap == "@":
			return e.key
		case gap == "," && e.last:
			return ""
		case gap == ",":
			return ","
		}
	}
	value, _ := lookup(gap, scope)
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case map[string]any, []any:
		text, _ := json.Marshal(v)
		return string(text)
	}
	text, _ := json.Marshal(value)
	return string(text)
}

func lookup(name string, scope []any) (any, bool) {
	for _, level := range scope {
		if e, ok := level.(entry); ok {
			level = e.value
		}
		if value, found := walk(level, strings.Split(name, ".")); found {
			return value, true
		}
	}
	return nil, false
}

func walk(value any, path []string) (any, bool) {
	for _, part := range path {
		switch v := value.(type) {
		case map[string]any:
			next, found := v[part]
			if !found {
				return nil, false
			}
			value = next
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(v) {
				return nil, false
			}
			value = v[i]
		default:
			return nil, false
		}
	}
	return value, true
}
