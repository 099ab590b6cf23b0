Feature: Every planned stop is a graceful shutdown
  Scenario: A node is stopped while a caller uploads a drawing
    Given a mesh of nodes with real network connections
    And a caller has sent half of a drawing of 50 megabytes
    When the node beside the backend server is stopped
    Then new calls go to another backend server
    And the drawing is received completely
    And the node finishes without further action
