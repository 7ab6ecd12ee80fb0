/* where_print - prints the answer of a node to the subcommand where */
#ifndef WHERE_PRINT_H
#define WHERE_PRINT_H

#include <jansson.h>

void where_print_json(const json_t *answer);
void where_print_table(const json_t *answer);

#endif
