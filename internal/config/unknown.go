package config

// VariableControl is the platform's variable with the address for operators.
const VariableControl = "RELAY_CONTROL"
