package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Fields renders the fields of a YAML type from its Go source: path, type and
// doc comment. Root is the name of the struct that the whole file is read into.
func Fields(source, root string) (string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), source, nil, parser.ParseComments)
	if err != nil {
		return "", merry.Wrap(err)
	}
	structs := map[string]*ast.StructType{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.TypeSpec); ok {
			if body, ok := spec.Type.(*ast.StructType); ok {
				structs[spec.Name.Name] = body
			}
		}
		return true
	})
	if structs[root] == nil {
		return "", merry.Errorf("%s has no struct %s", source, root)
	}
	var b strings.Builder
	b.WriteString("| field | type | meaning |\n|---|---|---|\n")
	writeFields(&b, structs, structs[root], "")
	return b.String(), nil
}

func writeFields(b *strings.Builder, structs map[string]*ast.StructType, body *ast.StructType, prefix string) {
	for _, field := range body.Fields.List {
		name := yamlName(field)
		if name == "" {
			continue
		}
		kind, inner := typeName(field.Type)
		path := prefix + name
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", path, kind, strings.Join(strings.Fields(field.Doc.Text()), " "))
		if structs[inner] != nil {
			writeFields(b, structs, structs[inner], path+".")
		}
	}
}

func yamlName(field *ast.Field) string {
	if field.Tag == nil {
		return ""
	}
	tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`")).Get("yaml")
	name, _, _ := strings.Cut(tag, ",")
	return name
}

// typeName returns how a field's type reads in the page, and the struct that
// stands behind it.
func typeName(e ast.Expr) (kind, inner string) {
	switch t := e.(type) {
	case *ast.Ident:
		return words(t.Name), t.Name
	case *ast.StarExpr:
		return typeName(t.X)
	case *ast.SelectorExpr:
		return words(t.Sel.Name), ""
	case *ast.ArrayType:
		kind, inner = typeName(t.Elt)
		return "list of " + kind, inner
	}
	return "value", ""
}

func words(name string) string {
	switch name {
	case "string", "Daemon", "Zone", "Service", "Workspace", "Target":
		return "text"
	case "int", "int64", "float64":
		return "number"
	case "bool":
		return "true or false"
	case "Duration":
		return "duration"
	case "Class", "Kind", "Fencing":
		return "word"
	}
	return "section"
}
