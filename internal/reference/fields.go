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
// doc comment. Root is the name of the struct into which the file is decoded.
func Fields(source, root string) (string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), source, nil, parser.ParseComments)
	if err != nil {
		return "", merry.Wrap(err)
	}
	structs := map[string]*ast.StructType{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.TypeSpec); ok {
			if structType, ok := spec.Type.(*ast.StructType); ok {
				structs[spec.Name.Name] = structType
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

func writeFields(b *strings.Builder, structs map[string]*ast.StructType, structType *ast.StructType, prefix string) {
	for _, field := range structType.Fields.List {
		name := yamlName(field)
		if name == "" {
			continue
		}
		description, structName := typeName(field.Type)
		path := prefix + name
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", path, description, strings.Join(strings.Fields(field.Doc.Text()), " "))
		if structs[structName] != nil {
			writeFields(b, structs, structs[structName], path+".")
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

// typeName returns the description of a field's type for the page, and the name of
// the type if it may be a struct of the same file.
func typeName(e ast.Expr) (description, structName string) {
	switch t := e.(type) {
	case *ast.Ident:
		return typeDescription(t.Name), t.Name
	case *ast.StarExpr:
		return typeName(t.X)
	case *ast.SelectorExpr:
		return typeDescription(t.Sel.Name), ""
	case *ast.ArrayType:
		description, structName = typeName(t.Elt)
		return "list of " + description, structName
	}
	return "value", ""
}

func typeDescription(name string) string {
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
