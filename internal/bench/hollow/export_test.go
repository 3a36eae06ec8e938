package hollow

// Its function that the tests use.
var ParseControl = parseControl
