package hollow

// ParseControl exports parseControl to tests.
var ParseControl = parseControl
