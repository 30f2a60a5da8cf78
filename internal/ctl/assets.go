package ctl

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"kumquatyard/internal/config"
)

// Columns of an asset register's export. Others are ignored.
const (
	columnID            = "id"
	columnVendor        = "vendor"
	columnClass         = "machine_class"
	columnAccelerators  = "accelerators"
	columnZone          = "zone"
	columnPrice         = "price_per_hour"
	columnMarket        = "market"
	columnAddress       = "address"
	columnKind          = "kind"
	columnPool          = "pool"
	columnModels        = "models"
	columnChecksFencing = "checks_fencing"
)

// Values of the market column.
const (
	marketReclaimable = "reclaimable"
	marketOnDemand    = "on_demand"
)

var requiredColumns = []string{columnID, columnZone, columnAddress, columnClass, columnPool, columnMarket, columnPrice}

// modelSeparator separates the models in a CSV cell.
const modelSeparator = ";"

// asset is one row of an export.
type asset struct {
	zone  string
	entry config.ServerEntry
}

// row holds the cells of an asset by column, and its place in the file for
// errors.
type row struct {
	place string
	cells map[string]string
}

// ReadAssets parses an asset register's export and returns its servers by zone,
// sorted by id. The file's extension selects CSV or JSON. The returned error
// joins all problems found.
func ReadAssets(file string, data []byte) (map[string][]config.ServerEntry, error) {
	var rows []row
	var err error
	switch strings.ToLower(filepath.Ext(file)) {
	case ".csv":
		rows, err = csvRows(file, data)
	case ".json":
		rows, err = jsonRows(file, data)
	default:
		return nil, fmt.Errorf("%s: the file name ends neither in .csv nor in .json; rename it", file)
	}
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("%s: has no rows; an import never removes all servers", file)
	}
	zones := make(map[string][]config.ServerEntry)
	var problems []error
	for _, r := range rows {
		a, err := r.asset()
		if err != nil {
			problems = append(problems, err)
			continue
		}
		zones[a.zone] = append(zones[a.zone], a.entry)
	}
	for _, entries := range zones {
		slices.SortFunc(entries, func(a, b config.ServerEntry) int { return strings.Compare(a.ID, b.ID) })
	}
	return zones, errors.Join(problems...)
}

func csvRows(file string, data []byte) ([]row, error) {
	reader := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))))
	reader.TrimLeadingSpace = true
	header, err := reader.Read()
	if err != nil {
		return nil, fmt.Errorf("%s: read the header: %w", file, err)
	}
	for i := range header {
		header[i] = strings.ToLower(strings.TrimSpace(header[i]))
	}
	for _, column := range requiredColumns {
		if !slices.Contains(header, column) {
			return nil, fmt.Errorf("%s:1: column %s is missing; add it to the export", file, column)
		}
	}
	records, err := reader.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	rows := make([]row, 0, len(records))
	for i, record := range records {
		r := row{place: fmt.Sprintf("%s:%d", file, i+2), cells: make(map[string]string, len(header))}
		for j, cell := range record {
			r.cells[header[j]] = strings.TrimSpace(cell)
		}
		rows = append(rows, r)
	}
	return rows, nil
}

func jsonRows(file string, data []byte) ([]row, error) {
	var records []map[string]any
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, fmt.Errorf("%s: is not a list of objects: %w", file, err)
	}
	rows := make([]row, 0, len(records))
	for i, record := range records {
		r := row{place: fmt.Sprintf("%s: [%d]", file, i), cells: make(map[string]string, len(record))}
		for column, value := range record {
			r.cells[strings.ToLower(column)] = cellText(value)
		}
		rows = append(rows, r)
	}
	return rows, nil
}

func cellText(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		parts := make([]string, len(v))
		for i, part := range v {
			parts[i] = cellText(part)
		}
		return strings.Join(parts, modelSeparator)
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	default:
		return strings.TrimSpace(fmt.Sprint(v))
	}
}

// asset parses a row. Errors name the row's place, the column and the fix.
func (r row) asset() (asset, error) {
	var problems []error
	fail := func(column, fix string) {
		problems = append(problems, fmt.Errorf("%s: %s: is %q; %s", r.place, column, r.cells[column], fix))
	}
	for _, column := range requiredColumns {
		if r.cells[column] == "" {
			fail(column, "set a value")
		}
	}
	price, err := strconv.ParseFloat(r.cells[columnPrice], 64)
	if err != nil {
		fail(columnPrice, "use a number such as 1.25")
	}
	accelerators, err := strconv.Atoi(orZero(r.cells[columnAccelerators]))
	if err != nil {
		fail(columnAccelerators, "use a whole number")
	}
	fencing, ok := parseBool(r.cells[columnChecksFencing])
	if !ok {
		fail(columnChecksFencing, "use yes or no")
	}
	market := r.cells[columnMarket]
	if market != marketReclaimable && market != marketOnDemand {
		fail(columnMarket, "use reclaimable or on_demand")
	}
	entry := config.ServerEntry{
		ID: r.cells[columnID], Address: r.cells[columnAddress], Kind: r.cells[columnKind], Pool: r.cells[columnPool],
		Vendor: r.cells[columnVendor], Class: r.cells[columnClass], Accelerators: accelerators, PricePerHour: price,
		Reclaimable: market == marketReclaimable, ChecksFencing: fencing, Models: splitModels(r.cells[columnModels]),
	}
	if entry.Kind == "" {
		entry.Kind = impliedKind(entry)
	}
	return asset{zone: r.cells[columnZone], entry: entry}, errors.Join(problems...)
}

// impliedKind returns the kind of a server whose row does not name it: a server
// with models is an engine.
func impliedKind(entry config.ServerEntry) string {
	if len(entry.Models) > 0 {
		return "engine"
	}
	return "service"
}

func orZero(text string) string {
	if text == "" {
		return "0"
	}
	return text
}

func parseBool(text string) (value, ok bool) {
	switch strings.ToLower(text) {
	case "yes", "true", "1":
		return true, true
	case "", "no", "false", "0":
		return false, true
	default:
		return false, false
	}
}

func splitModels(text string) []string {
	var models []string
	for _, model := range strings.Split(text, modelSeparator) {
		if model = strings.TrimSpace(model); model != "" {
			models = append(models, model)
		}
	}
	return models
}
