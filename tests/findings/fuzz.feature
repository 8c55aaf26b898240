Feature: Whatever an operator writes, the reader gives findings or a document

  Scenario: any text is read, or refused with findings
    Then 300 texts are read or refused with findings

  Scenario: any values under known keys are read, or refused with findings
    Then 500 documents of odd values are read or refused with findings
