Feature: Every input of an operator gives a document or findings

  Scenario: arbitrary text is read, or rejected with findings
    Then 300 texts are read or rejected with findings

  Scenario: arbitrary values of known keys are read, or rejected with findings
    Then 500 documents of arbitrary values are read or rejected with findings
