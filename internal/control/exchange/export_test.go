package exchange

// Its figure that the tests use.
const LeavingFor = leavingFor
