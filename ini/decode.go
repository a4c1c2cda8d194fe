// Package ini decodes INI settings into protobuf messages of package schema and reports all problems at once.
//
// A section [field] fills a singular message field, a section [field name] one element of a repeated message field.
// A key is the name of a field without its unit: deadline fills deadline_us.
package ini

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

const nameField = "name"

type decoder struct {
	file     string
	problems Problems
}

// Decode fills m from an INI text and applies the schema's defaults. The file name appears in problems and isn't opened.
// If there are problems, m is incomplete and must not be used.
func Decode(file string, text []byte, m proto.Message) Problems {
	d := &decoder{file: file}
	if len(text) > jaypitch.MaxDocumentBytes {
		d.addProblem(jaypitch.CodeTooLarge, "", "", "the text is %d bytes long; at most %d are allowed", len(text), jaypitch.MaxDocumentBytes)
		return d.problems
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		KeyValueDelimiters:         "=",
	}, text)
	if err != nil {
		d.addProblem(jaypitch.CodeSyntax, "", "", "%s", strings.ReplaceAll(err.Error(), "\n", " "))
		return d.problems
	}
	r := m.ProtoReflect()
	seen := map[string]bool{}
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if seen[s.Name()] {
			d.addProblem(jaypitch.CodeDuplicate, s.Name(), "", "the section occurs twice")
			continue
		}
		seen[s.Name()] = true
		d.decodeSection(r, s)
	}
	d.fillAbsentSections(r)
	return d.problems
}

// SectionHeaders returns the section headers that a message allows, separated by commas: [field], or [field NAME] if it is repeated.
func SectionHeaders(m protoreflect.MessageDescriptor) string {
	var names []string
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		name := "[" + string(f.Name()) + "]"
		if f.IsList() {
			name = "[" + string(f.Name()) + " NAME]"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

func (d *decoder) addProblem(c jaypitch.Code, section, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{Code: c, File: d.file, Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// decodeSection decodes one section into its field of r.
func (d *decoder) decodeSection(r protoreflect.Message, s *ini.Section) {
	kind, name, named := strings.Cut(s.Name(), " ")
	f := r.Descriptor().Fields().ByName(protoreflect.Name(kind))
	if f == nil || f.IsList() != named {
		d.addProblem(jaypitch.CodeUnknownSection, s.Name(), "", "unknown section; allowed are %s", SectionHeaders(r.Descriptor()))
		return
	}
	var target protoreflect.Message
	if f.IsList() {
		if !nameFormat.MatchString(name) {
			d.addProblem(jaypitch.CodeBadName, s.Name(), "", "the section name %q does not match %s", name, nameFormat)
			return
		}
		target = r.Mutable(f).List().AppendMutable().Message()
		target.Set(target.Descriptor().Fields().ByName(nameField), protoreflect.ValueOfString(name))
	} else {
		target = r.Mutable(f).Message()
	}
	present := map[string]bool{}
	for _, k := range s.Keys() {
		present[k.Name()] = true
		d.decodeKey(target, s, k, f.IsList())
	}
	d.applyDefaults(target, s.Name(), present, f.IsList())
}

// decodeKey decodes one key into its field. Named is true for a section [field name].
func (d *decoder) decodeKey(target protoreflect.Message, s *ini.Section, k *ini.Key, named bool) {
	f := fieldOf(target.Descriptor(), k.Name(), named)
	if f == nil {
		d.addProblem(jaypitch.CodeUnknownKey, s.Name(), k.Name(), "unknown key; allowed are %s", keysOf(target.Descriptor(), named))
		return
	}
	values := k.ValueWithShadows()
	if len(values) > 1 {
		d.addProblem(jaypitch.CodeDuplicate, s.Name(), k.Name(), "the key occurs %d times", len(values))
		return
	}
	text := strings.TrimSpace(k.Value())
	if text == "" && RuleOf(f).GetRequired() {
		d.addProblem(jaypitch.CodeMissingKey, s.Name(), k.Name(), "the value is empty; %s", Allowed(f))
		return
	}
	if code, reason := setField(target, f, text); code != jaypitch.CodeOK {
		d.addProblem(code, s.Name(), k.Name(), "%s", reason)
	}
}

// applyDefaults sets the defaults of absent keys and reports absent keys that are required.
func (d *decoder) applyDefaults(target protoreflect.Message, section string, present map[string]bool, named bool) {
	fields := target.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if named && f.Name() == nameField || present[KeyOf(f)] {
			continue
		}
		rule := RuleOf(f)
		if rule.GetRequired() {
			d.addProblem(jaypitch.CodeMissingKey, section, KeyOf(f), "the key is required; %s", Allowed(f))
			continue
		}
		if rule.GetDefault() == "" {
			continue
		}
		if code, reason := setField(target, f, rule.GetDefault()); code != jaypitch.CodeOK {
			d.addProblem(code, section, KeyOf(f), "invalid default: %s", reason)
		}
	}
}

// fillAbsentSections applies the defaults of singular sections that are absent from the text.
func (d *decoder) fillAbsentSections(r protoreflect.Message) {
	fields := r.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.IsList() || r.Has(f) || d.hasProblem(string(f.Name())) {
			continue
		}
		d.applyDefaults(r.Mutable(f).Message(), string(f.Name()), nil, false)
	}
}

// hasProblem reports whether a problem of the section has been reported.
func (d *decoder) hasProblem(section string) bool {
	for _, p := range d.problems {
		if p.Section == section {
			return true
		}
	}
	return false
}

// RuleOf returns the option of a field that restricts its value, or nil, which reads as an empty option, if the field has none.
func RuleOf(f protoreflect.FieldDescriptor) *schema.Rule {
	r, _ := proto.GetExtension(f.Options(), schema.E_Rule).(*schema.Rule)
	return r
}

// KeyOf returns the settings key of a field: its name, for a duration without the suffix _us.
func KeyOf(f protoreflect.FieldDescriptor) string {
	if RuleOf(f).GetKind() == schema.Kind_KIND_DURATION {
		return strings.TrimSuffix(string(f.Name()), "_us")
	}
	return string(f.Name())
}

func fieldOf(m protoreflect.MessageDescriptor, key string, named bool) protoreflect.FieldDescriptor {
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		if named && f.Name() == nameField {
			continue
		}
		if KeyOf(f) == key {
			return f
		}
	}
	return nil
}

func keysOf(m protoreflect.MessageDescriptor, named bool) string {
	var names []string
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		if !named || f.Name() != nameField {
			names = append(names, KeyOf(f))
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
